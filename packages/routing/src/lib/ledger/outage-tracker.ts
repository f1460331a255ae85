import type { LedgerClock } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';

/** Tracks how long the table has been rejecting writes. */
export interface OutageTracker {
  recordFailure(): void;
  recordSuccess(): void;
  /** True while the outage is so short that a retry within the deadline is likely to succeed. */
  isBrief(): boolean;
  /** Retry delay for a refused caller: the duration of the outage so far, within bounds. */
  retryAfterMs(): number;
}

/** Creates an outage tracker. @internal */
export function createOutageTracker(clock: LedgerClock, cfg: LedgerConfig): OutageTracker {
  let since: number | undefined;
  const durationMs = () => (since === undefined ? 0 : clock.now() - since);
  return {
    recordFailure() {
      since ??= clock.now();
    },
    recordSuccess() {
      since = undefined;
    },
    isBrief: () => durationMs() < cfg.briefOutageMs,
    retryAfterMs: () =>
      Math.ceil(Math.min(Math.max(durationMs(), cfg.retryAfterMs), cfg.maxRetryAfterMs)),
  };
}
