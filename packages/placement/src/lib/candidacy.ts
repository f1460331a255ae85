import { type Candidate, type LeaderLeaseReading, isLeaseFree } from './leader-lease.js';

/** Ratio of processor time from which one router should lead rather than another. */
export const MIN_CAPACITY_RATIO = 1.5;
/** Time for which a router leaves a free lease to much stronger ones, in milliseconds. */
const YIELD_MS = 600;

/**
 * One router's part in the acquisition of the leadership lease. A leader's work grows with the
 * fleet: an instance with little processor time, or a slow link, may be unable to answer all
 * routers, or to renew its lease, so stronger routers come first.
 */
export interface Candidacy {
  /** Returns whether this router may acquire the lease now; to be called with each reading. */
  mayAcquire(reading: LeaderLeaseReading): boolean;
}

/** Creates the candidacy of a router with the processor time `capacity`, in cores. */
export function createCandidacy(self: Candidate, capacity: number, now: () => number): Candidacy {
  /** When a reading first showed that the lease is free; `undefined` if the last one did not. */
  let freeSince: number | undefined;

  function mustYield({ placement }: LeaderLeaseReading): boolean {
    if (!placement) return false;
    const { leaderLease, strongestCapacity = 0 } = placement;
    const isNamed = leaderLease.handedOver && leaderLease.successor === self.router;
    if (isNamed || strongestCapacity < capacity * MIN_CAPACITY_RATIO) return false;
    freeSince ??= now();
    return now() < freeSince + YIELD_MS;
  }

  return {
    mayAcquire(reading) {
      const isFree = isLeaseFree(reading, self);
      if (isFree && mustYield(reading)) return false;
      freeSince = undefined;
      return isFree;
    },
  };
}
