/** Lease times, all in milliseconds. */
export interface LeaseTimes {
  readonly leaseMs: number;
  /** Longest time from sending a grant to its arrival; its connection is reset after that. */
  readonly transitMs: number;
}

/** A backend server's clock may run this much slow. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;
/** Covers timers that fire late. */
const TIMER_SLACK_MS = 100;

/** Longest time for which a lease may last after the order has arrived. */
export function maxLeaseMs(times: LeaseTimes): number {
  return times.leaseMs * MAX_CLOCK_DRIFT_FACTOR + TIMER_SLACK_MS;
}

/**
 * Bounds the time until which a backend server may hold a range. A grant without an answer may be
 * carried out much later, even after a release, but its lease counts from its arrival.
 */
export interface LeaseBound {
  /** The server may hold the range until then because of answered grants. */
  answeredUntil: number;
  /** The server may hold the range until then because of grants without an answer. */
  unansweredUntil: number;
}

/** A server that was never granted the range. */
export function noLease(): LeaseBound {
  return { answeredUntil: -Infinity, unansweredUntil: -Infinity };
}

/** Records a grant that was answered at `now`. */
export function recordAnswered(bound: LeaseBound, now: number, times: LeaseTimes): void {
  bound.answeredUntil = Math.max(bound.answeredUntil, now + maxLeaseMs(times));
}

/** Records a grant that was sent at `sentAt` and may or may not be carried out. */
export function recordUnanswered(bound: LeaseBound, sentAt: number, times: LeaseTimes): void {
  const until = sentAt + times.transitMs + maxLeaseMs(times);
  bound.unansweredUntil = Math.max(bound.unansweredUntil, until);
}

/** Records an answered release: it ends what was answered, not what was not. */
export function recordReleased(bound: LeaseBound): void {
  bound.answeredUntil = -Infinity;
}

/** Time until which the server may hold the range. */
export function heldUntil(bound: LeaseBound): number {
  return Math.max(bound.answeredUntil, bound.unansweredUntil);
}
