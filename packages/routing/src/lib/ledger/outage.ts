import type { LedgerClock } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';

/** Follows how long the table has not taken writes. */
export interface Outage {
  failed(): void;
  succeeded(): void;
  /** True in the first moments, when another attempt within the deadline is worth its while. */
  isBrief(): boolean;
  /** Time after which a refused caller may come back: as long as the outage has lasted. */
  retryAfterMs(): number;
}

/** Creates the record of an outage. @internal */
export function createOutage(clock: LedgerClock, cfg: LedgerConfig): Outage {
  let since: number | undefined;
  const lastedMs = () => (since === undefined ? 0 : clock.now() - since);
  return {
    failed() {
      since ??= clock.now();
    },
    succeeded() {
      since = undefined;
    },
    isBrief: () => lastedMs() < cfg.briefOutageMs,
    retryAfterMs: () =>
      Math.ceil(Math.min(Math.max(lastedMs(), cfg.retryAfterMs), cfg.maxRetryAfterMs)),
  };
}
