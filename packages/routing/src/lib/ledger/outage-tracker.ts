import type { LedgerClock } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';

/** Follows how long the table has not taken writes. */
export interface OutageTracker {
  recordFailure(): void;
  recordSuccess(): void;
  /** True in the first moments, when another attempt within the deadline is worth its while. */
  isBrief(): boolean;
  /** Time after which a refused caller may come back: as long as the outage has lasted. */
  retryAfterMs(): number;
}

/** Creates the record of an outage. @internal */
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
