import type { HeldRange } from './held-range.js';

/** Time between two checks for leases to renew, in milliseconds. */
export const RENEWAL_CHECK_INTERVAL_MS = 50;
/** Age from which a lease is due for renewal, in milliseconds. */
const RENEW_AFTER_MS = 1_000;
/** Age from which a lease is renewed regardless of the limit per check, in milliseconds. */
const OVERDUE_AFTER_MS = 1_600;
/** Limit of renewals per check, as a multiple of the steady rate that keeps all leases alive. */
const MAX_CATCH_UP_FACTOR = 2;

/**
 * Returns the ranges whose leases to renew now, oldest first. Leases that were granted at the same
 * time are spread over several checks, so that a leader of many ranges does not block its event
 * loop by renewing all of them at once.
 */
export function dueRenewals(ranges: readonly HeldRange[], now: number): HeldRange[] {
  const due = ranges
    .filter((it) => it.granted && !it.busy && !it.renewing && now >= it.renewedAt + RENEW_AFTER_MS)
    .sort((a, b) => a.renewedAt - b.renewedAt);
  const maxRenewals = Math.ceil(
    (MAX_CATCH_UP_FACTOR * ranges.length * RENEWAL_CHECK_INTERVAL_MS) / RENEW_AFTER_MS,
  );
  return due.filter((it, index) => index < maxRenewals || now >= it.renewedAt + OVERDUE_AFTER_MS);
}
