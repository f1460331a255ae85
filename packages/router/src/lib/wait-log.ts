import type { RouterLog } from './router-log.js';

/** Time between two log lines about the same wait, in milliseconds. */
const REMINDER_INTERVAL_MS = 30_000;

/** Logs what a start waits for: at once, when that changes, and from time to time. */
export interface WaitLog {
  note(reason: string): void;
  /** The start goes on. */
  over(): void;
}

/** Creates the log of a wait, which writes to the log in use. */
export function createWaitLog(
  log: () => Pick<RouterLog, 'info' | 'error'>,
  now: () => number = () => performance.now(),
): WaitLog {
  let since: number | undefined;
  let toldReason: string | undefined;
  let remindAt = 0;
  return {
    note(reason) {
      const at = now();
      since ??= at;
      if (reason === toldReason && at < remindAt) return;
      toldReason = reason;
      remindAt = at + REMINDER_INTERVAL_MS;
      log().error('start waits', { reason, forMs: Math.round(at - since) });
    },
    over() {
      if (since === undefined) return;
      log().info('start goes on', { afterMs: Math.round(now() - since) });
      since = undefined;
      toldReason = undefined;
    },
  };
}
