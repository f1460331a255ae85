/** Times of a lease, in milliseconds. */
export interface LeaseTimes {
  readonly leaseMs: number;
  /** Longest time from sending a grant to its arrival; the connection is reset after that. */
  readonly transitMs: number;
}

/** Factor by which a backend server's clock may run slow. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;
/** Allowance for timers that fire late, in milliseconds. */
const TIMER_SLACK_MS = 100;

/**
 * Returns the longest time for which a lease may last after its grant has arrived, in milliseconds.
 */
export function maxLeaseMs(times: LeaseTimes): number {
  return times.leaseMs * MAX_CLOCK_DRIFT_FACTOR + TIMER_SLACK_MS;
}

/**
 * Bounds the time until which a backend server may hold a range, on the monotonic clock. An
 * unanswered grant may be carried out late, even after a release, and its lease runs from its
 * arrival.
 */
export interface LeaseBound {
  /** Time until which answered grants may let the server hold the range. */
  answeredUntil: number;
  /** Time until which unanswered grants may let the server hold the range. */
  unansweredUntil: number;
  /** When the outcome of the last grant was known that may let the server hold the range. */
  settledAt: number;
}

/** Returns the bound of a server that was never granted the range. */
export function noLease(): LeaseBound {
  return { answeredUntil: -Infinity, unansweredUntil: -Infinity, settledAt: -Infinity };
}

/** Records a grant that was answered at `now`. */
export function recordAnswered(bound: LeaseBound, now: number, times: LeaseTimes): void {
  bound.answeredUntil = Math.max(bound.answeredUntil, now + maxLeaseMs(times));
  bound.settledAt = Math.max(bound.settledAt, now);
}

/**
 * Records a grant that was sent at `sentAt` and given up at `now`; it may or may not be carried out.
 */
export function recordUnanswered(
  bound: LeaseBound,
  sentAt: number,
  now: number,
  times: LeaseTimes,
): void {
  const until = sentAt + times.transitMs + maxLeaseMs(times);
  bound.unansweredUntil = Math.max(bound.unansweredUntil, until);
  bound.settledAt = Math.max(bound.settledAt, now);
}

/** Records an answered release, which ends answered grants but not unanswered ones. */
export function recordReleased(bound: LeaseBound): void {
  bound.answeredUntil = -Infinity;
}

/** Returns the time until which the server may hold the range. */
export function heldUntil(bound: LeaseBound): number {
  return Math.max(bound.answeredUntil, bound.unansweredUntil);
}
