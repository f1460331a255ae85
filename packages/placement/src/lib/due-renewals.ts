import type { HeldRange } from './held-range.js';

/** Time between two looks for leases to renew, in milliseconds. */
export const RENEWAL_CHECK_INTERVAL_MS = 100;
/** Time after which a lease is renewed, in milliseconds. */
const RENEW_AFTER_MS = 2_000;
/** Time after which a lease is renewed whatever else is to do, in milliseconds. */
const OVERDUE_AFTER_MS = 3_200;
/** Renewals of one look, as a multiple of what keeps all leases alive. */
const MAX_CATCH_UP_FACTOR = 2;

/**
 * The leases to renew now, oldest first. Those that came about together are spread over time, so that a leader of many
 * ranges does not stop for all of them at once.
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
