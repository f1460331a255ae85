import type { PlacementLeader } from './placement-leader.js';
import type { Reporter } from './reporters.js';
import type { Clocks } from './suspension-guard.js';

/** Time for which a leader leads at least, so that the routers have reported, in milliseconds. */
const MIN_LEADING_MS = 1_000;
/** Factor of processor time from which a change of leaders is worth it. */
const MIN_CAPACITY_RATIO = 1.5;
/** Time after which the seat is offered to the same router again, in milliseconds. */
const REPEATED_OFFER_DELAY_MS = 30_000;

/** Has a leader hand its seat to the strongest other router, if that is worth it. */
export type LeadershipTransfer = (
  leading: Pick<PlacementLeader, 'startedAt' | 'isLeaseExpired' | 'handOverLeadership'>,
  strongest: Reporter | undefined,
) => void;

/**
 * Creates the offers of a router with a certain processor time: a leader's work grows with the fleet, so that a router
 * with much more of it should lead.
 */
export function createLeadershipTransfer(capacity: number, clocks: Clocks): LeadershipTransfer {
  /** When the seat was offered to a router last. */
  const offeredAt = new Map<string, number>();

  return (leading, strongest) => {
    const now = clocks.monotonic();
    const isSettled = now >= leading.startedAt + MIN_LEADING_MS && !leading.isLeaseExpired();
    if (!strongest || !isSettled || strongest.capacity < capacity * MIN_CAPACITY_RATIO) return;
    // One that did not take the seat is not asked again soon.
    if (now < (offeredAt.get(strongest.router) ?? -Infinity) + REPEATED_OFFER_DELAY_MS) return;
    offeredAt.set(strongest.router, now);
    leading.handOverLeadership(strongest.router);
  };
}
