import { eraOf, inEra } from '@boragepoint/platform';

import { LEASE_MS, ORDER_TIMEOUT_MS } from './leader-context.js';
import { LEADER_LEASE_MS, type LeaderLeaseReading, RENEWAL_GRACE_MS } from './leader-lease.js';
import type { FetchedPlacement } from './leader-messages.js';
import { maxLeaseMs } from './lease-bound.js';
import type { FormerLeaderAnswer, RequestStepDown } from './former-leader.js';
import type { PlacementPeers } from './placement-peers.js';
import {
  type HolderRecord,
  type LeaderLeaseRecord,
  type Placement,
  type RangeRecord,
  releasedLease,
} from './placement-record.js';
import { type PlacementView, type RangeView, isNewer, viewOf } from './placement-view.js';
import type { ServerDirectory } from './server-directory.js';
import type { StoppedLeader } from './stopped-leader.js';
import type { Clocks } from './suspension-guard.js';

/**
 * Longest time for which an unanswered grant of an ended leader may still be in effect, in
 * milliseconds.
 */
export const MAX_UNANSWERED_GRANT_MS =
  ORDER_TIMEOUT_MS + maxLeaseMs({ leaseMs: LEASE_MS, transitMs: ORDER_TIMEOUT_MS });
/** Timeout of the request to a former leader to step down, in milliseconds. */
export const STEP_DOWN_TIMEOUT_MS = 500;
/** Timeout of the request for another router's placement, in milliseconds. */
const FETCH_TIMEOUT_MS = 400;

/** A placement from which a leader of a new era starts. */
export interface RecoveredPlacement {
  /**
   * - `stopped leader`: the exact state of the last leader.
   * - `routers`: what routers were told by the last leader.
   * - `copy`: what the store came back with; all leases that were granted since have ended.
   * - `none`: nobody knows a placement.
   */
  readonly source: 'stopped leader' | 'routers' | 'copy' | 'none';
  readonly placement: Placement | undefined;
  /** Time for which a grant of the former leader may still be in effect, in milliseconds. */
  readonly inheritedForMs: number;
  /** Converts a time of the store's clock in the placement to monotonic time. */
  readonly toMonotonic: (storeMs: number) => number;
  /** True if all leases of the placement have ended. */
  readonly leasesEnded: boolean;
}

/** What a router knows when it finds that no leader has claimed the present era. */
export interface RecoverOptions {
  readonly reading: LeaderLeaseReading;
  /** Time since this router first saw that, in milliseconds. */
  readonly unclaimedForMs: number;
  readonly self: Pick<LeaderLeaseRecord, 'router' | 'address' | 'startedMs'>;
  /** The newest view that this router knows beyond the copy. */
  readonly view: PlacementView | undefined;
  /** True if the leader of the view's epoch told this router of each move before its first order. */
  readonly isWitness: boolean;
  /** Time since a leader answered this router, in milliseconds. */
  readonly heardAgoMs: number;
  /** The leader of the view's epoch, if its address is known. */
  readonly leader: Pick<LeaderLeaseRecord, 'address' | 'epoch'> | undefined;
  /** What this router knew when it last stopped leading. */
  readonly stopped: StoppedLeader | undefined;
  /** Addresses of other routers. */
  readonly addresses: readonly string[];
  readonly peers: Pick<PlacementPeers, 'fetchPlacement'>;
  readonly requestStepDown: RequestStepDown;
  readonly directory: Pick<ServerDirectory, 'get'>;
  readonly clocks: Clocks;
  /** Called with the newest placement that any router knows beyond the copy. */
  onFound(newest: FetchedPlacement): void;
  /**
   * Called with the answer of the leader of an epoch that was asked to step down; returns the time
   * for which its process has been known to have ended, in milliseconds.
   */
  noteStepDown(epoch: number, answer: FormerLeaderAnswer['kind']): number;
}

/**
 * Finds the newest view among this router's and others'. It counts as witnessed if any router that
 * answers is a witness of its epoch.
 */
async function findNewest(options: RecoverOptions): Promise<FetchedPlacement | undefined> {
  const { peers, addresses, view, ...own } = options;
  const fetched = await Promise.all(
    addresses.map((it) => peers.fetchPlacement(it, FETCH_TIMEOUT_MS)),
  );
  const all = [view && { ...own, view }, ...fetched].filter((it) => it !== undefined);
  const newest = all.reduce<FetchedPlacement | undefined>(
    (best, it) => (!best || isNewer(it.view, best.view) ? it : best),
    undefined,
  );
  const sameEpoch = all.filter((it) => it.view.epoch === newest?.view.epoch);
  return (
    newest && {
      view: newest.view,
      leader: sameEpoch.find((it) => it.leader)?.leader,
      isWitness: sameEpoch.some((it) => it.isWitness),
      heardAgoMs: Math.min(...sameEpoch.map((it) => it.heardAgoMs)),
    }
  );
}

/** A former holder that is not known; it keeps a range from others until its lease has ended. */
const UNKNOWN_HOLDER: HolderRecord = {
  incarnation: { server: '', address: '', startedMs: Number.MAX_SAFE_INTEGER },
  fence: 0,
  settled: false,
};

function recordOfView(range: RangeView, directory: RecoverOptions['directory']): RangeRecord {
  const { first, last, owner: server, granted } = range;
  const entry = server === undefined ? undefined : directory.get(server)?.entry;
  const owner = entry && {
    incarnation: { server: entry.id, address: entry.address, startedMs: entry.startedMs },
    fence: 0,
    settled: false,
  };
  // Without a registry entry, neither the end nor a release of the owner can be proved. While a
  // range is handed over, its former owner is not known.
  const isVacated = server === undefined || (entry !== undefined && granted);
  return { first, last, owner, former: isVacated ? [] : [UNKNOWN_HOLDER] };
}

function placementOfView(view: PlacementView, options: RecoverOptions): Placement {
  const { self, directory, reading } = options;
  const services = [...view.services].map(([service, ranges]) => {
    return [service, ranges.map((it) => recordOfView(it, directory))] as const;
  });
  return {
    leaderLease: releasedLease(self, view.epoch),
    version: 0,
    change: view.change,
    nextFence: inEra(reading.era, 1),
    services: new Map(services),
    suspects: [],
    peers: [],
    isUnverified: true,
  };
}

/** Drops former holders, whose leases have ended. */
function withoutFormer(placement: Placement): Placement {
  const services = [...placement.services].map(
    ([service, ranges]) => [service, ranges.map((it) => ({ ...it, former: [] }))] as const,
  );
  return { ...placement, services: new Map(services), isUnverified: true };
}

function fromStopped(stopped: StoppedLeader, now: number): RecoveredPlacement {
  const { placement, unansweredForMs, storeNowMs } = stopped;
  return {
    source: 'stopped leader',
    placement,
    inheritedForMs: unansweredForMs,
    toMonotonic: (storeMs) => now + (storeMs - storeNowMs),
    leasesEnded: false,
  };
}

/**
 * Returns whether all leases have ended that a leader may have granted which is silent, or has been
 * known to have ended for `goneForMs`. A silent one may be cut off from the store, and renew leases
 * until its grace time is over.
 */
function haveLeasesEnded(goneForMs: number, unheardForMs: number): boolean {
  if (goneForMs >= MAX_UNANSWERED_GRANT_MS) return true;
  return unheardForMs >= LEADER_LEASE_MS + RENEWAL_GRACE_MS + MAX_UNANSWERED_GRANT_MS;
}

/** Returns a view's placement, once no leader that it may lack can have sent unknown grants. */
function fromView(
  { view, isWitness, heardAgoMs }: FetchedPlacement,
  options: RecoverOptions,
  { isGone, goneForMs }: LeaderEnd,
): RecoveredPlacement | undefined {
  const { unclaimedForMs } = options;
  const leasesEnded = haveLeasesEnded(goneForMs, Math.min(unclaimedForMs, heardAgoMs));
  const placement = placementOfView(view, options);
  if (!leasesEnded && (!isWitness || unclaimedForMs < LEADER_LEASE_MS)) return undefined;
  const renewedForMs = isGone ? 0 : LEADER_LEASE_MS + RENEWAL_GRACE_MS;
  return {
    source: 'routers',
    placement: leasesEnded ? withoutFormer(placement) : placement,
    inheritedForMs: leasesEnded ? 0 : MAX_UNANSWERED_GRANT_MS + renewedForMs,
    toMonotonic: (storeMs) => storeMs,
    leasesEnded,
  };
}

/** Returns the copy's placement once all leases that it may lack have ended. */
async function fromCopy(options: RecoverOptions): Promise<RecoveredPlacement | undefined> {
  const { reading, unclaimedForMs, requestStepDown } = options;
  const { copy } = reading;
  if (copy) {
    const { address, epoch, startedMs } = copy.leaderLease;
    const answer = await requestStepDown(
      address,
      epoch,
      startedMs,
      STEP_DOWN_TIMEOUT_MS,
      reading.era,
    );
    const goneForMs = options.noteStepDown(epoch, answer.kind);
    if (!haveLeasesEnded(goneForMs, unclaimedForMs)) return undefined;
  }
  return {
    source: copy ? 'copy' : 'none',
    placement: copy && withoutFormer(copy),
    inheritedForMs: 0,
    toMonotonic: (storeMs) => storeMs,
    leasesEnded: true,
  };
}

/** What is known of the end of a leader. */
interface LeaderEnd {
  /** True if its process has ended, or sends no more orders. */
  readonly isGone: boolean;
  /** Time for which that has been known, in milliseconds. */
  readonly goneForMs: number;
}

/**
 * Returns whether no other router can have led before the return: the leader's lease expired only
 * after the present era had been seen.
 */
function wasLast(stopped: StoppedLeader, { unclaimedForMs }: RecoverOptions): boolean {
  return stopped.isLast && stopped.lapsedForMs <= unclaimedForMs;
}

async function stopLeader(
  newest: FetchedPlacement,
  options: RecoverOptions,
): Promise<FormerLeaderAnswer> {
  const { leader } = newest;
  if (!leader) return { kind: 'silent' };
  const { epoch } = newest.view;
  const { era } = options.reading;
  return options.requestStepDown(leader.address, epoch, 0, STEP_DOWN_TIMEOUT_MS, era);
}

/**
 * Finds the placement from which a leader of the present era has to start, after the store came
 * back from an older copy. What routers know is newer than the copy. Returns `undefined` while the
 * era must not be claimed yet: a leader may still claim it, or leases that nobody knows may not
 * have ended.
 */
export async function recoverPlacement(
  options: RecoverOptions,
): Promise<RecoveredPlacement | undefined> {
  const { reading, stopped, clocks } = options;
  const newest = await findNewest(options);
  const copy = reading.copy && viewOf(reading.copy);
  // A leader has claimed the era since the row was read.
  if (newest && eraOf(newest.view.epoch) >= reading.era) return undefined;
  if (!newest || (copy && isNewer(copy, newest.view))) return fromCopy(options);
  options.onFound(newest);
  const isOwn = stopped?.placement.leaderLease.epoch === newest.view.epoch;
  if (isOwn && wasLast(stopped, options)) return fromStopped(stopped, clocks.monotonic());
  const answer = await stopLeader(newest, options);
  const goneForMs = options.noteStepDown(newest.view.epoch, answer.kind);
  if (answer.kind === 'stopped' && answer.stopped && wasLast(answer.stopped, options)) {
    return fromStopped(answer.stopped, clocks.monotonic());
  }
  return fromView(newest, options, { isGone: answer.kind !== 'silent', goneForMs });
}
