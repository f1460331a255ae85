import { MIN_CAPACITY_RATIO } from './candidacy.js';
import type { PlacementLeader } from './placement-leader.js';
import type { Reporter } from './reporters.js';
import type { Clocks } from './suspension-guard.js';

/**
 * Shortest time for which a router leads before it hands over, so that the other routers have
 * reported, in milliseconds.
 */
const MIN_LEADING_MS = 1_000;
/** Time after which leadership is offered to the same router again, in milliseconds. */
const REPEATED_OFFER_DELAY_MS = 30_000;

/**
 * Makes a leader hand over leadership to the router with the most processor time, if that is
 * worthwhile.
 */
export type LeadershipTransfer = (
  leading: Pick<PlacementLeader, 'startedAt' | 'isLeaseExpired' | 'handOverLeadership'>,
  strongest: Reporter | undefined,
) => void;

/**
 * Creates the transfer for a router with the processor time `capacity`, in cores. A leader's work
 * grows with the fleet, so a router with much more processor time should lead.
 */
export function createLeadershipTransfer(capacity: number, clocks: Clocks): LeadershipTransfer {
  /** When leadership was last offered to a router, on the monotonic clock. */
  const offeredAt = new Map<string, number>();

  return (leading, strongest) => {
    const now = clocks.monotonic();
    const isSettled = now >= leading.startedAt + MIN_LEADING_MS && !leading.isLeaseExpired();
    if (!strongest || !isSettled || strongest.capacity < capacity * MIN_CAPACITY_RATIO) return;
    // A router that did not acquire the lease after an offer gets no other offer for a while.
    if (now < (offeredAt.get(strongest.router) ?? -Infinity) + REPEATED_OFFER_DELAY_MS) return;
    offeredAt.set(strongest.router, now);
    leading.handOverLeadership(strongest.router);
  };
}
