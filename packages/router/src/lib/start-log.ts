import type { LogFields, RouterLog } from './router-log.js';

/** Interval between checks whether a phase of the start is over, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Time between two log lines about a router that is not ready yet, in milliseconds. */
const REMINDER_INTERVAL_MS = 30_000;

/** Logs the phases of a router's start. */
export interface StartLog {
  /** Logs that a phase is over, with its time and the time since the process started. */
  phaseDone(phase: string, fields?: LogFields): void;
}

/**
 * Creates the log of a start, which writes to the log in use; `now` is the time since the process
 * started, in milliseconds.
 */
export function createStartLog(
  log: () => Pick<RouterLog, 'info'>,
  now: () => number = () => performance.now(),
): StartLog {
  let phaseStart = 0;
  return {
    phaseDone(phase, fields) {
      const at = now();
      log().info('start phase done', {
        phase,
        tookMs: Math.round(at - phaseStart),
        afterMs: Math.round(at),
        ...fields,
      });
      phaseStart = at;
    },
  };
}

/** What a router needs until it is ready; returns whether it has it. */
export type StartConditions = Readonly<Record<string, () => boolean>>;

/**
 * Logs each condition of readiness when it is met for the first time, and from time to time which
 * ones are not, until all are met or the watch is disposed.
 */
export function watchStart(
  conditions: StartConditions,
  start: StartLog,
  log: Pick<RouterLog, 'warn'>,
): Disposable {
  const missing = new Map(Object.entries(conditions));
  let remindAt = performance.now() + REMINDER_INTERVAL_MS;
  const timer = setInterval(() => {
    for (const [phase, isMet] of missing) {
      if (!isMet()) continue;
      missing.delete(phase);
      start.phaseDone(phase);
    }
    if (missing.size === 0) clearInterval(timer);
    if (missing.size === 0 || performance.now() < remindAt) return;
    remindAt += REMINDER_INTERVAL_MS;
    log.warn('not ready yet', { missing: [...missing.keys()] });
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}
