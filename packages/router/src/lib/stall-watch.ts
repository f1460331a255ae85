/** Interval between checks of the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Event-loop lag from which a check reports a stall, in milliseconds. */
const MIN_STALL_MS = 250;
/** Event-loop lag from which data that is read now may have waited, in milliseconds. */
const MIN_READ_DELAY_MS = 100;
const US_PER_MS = 1_000;

/** A stall of the event loop: the process did not run, or was busy with one task. */
export interface Stall {
  /** Event-loop lag in milliseconds. */
  readonly lateMs: number;
  /**
   * CPU time used during the stall, in milliseconds; little of it means that the process did not
   * run.
   */
  readonly cpuMs: number;
}

/** Monitor of the event-loop lag. */
export interface StallWatch extends Disposable {
  /** How long data that is read now may have waited, in milliseconds; 0 unless the loop lags. */
  readDelayMs(): number;
}

/** Calls `onStall` after each stall of the event loop, until disposed. */
export function watchStalls(
  onStall: (stall: Stall) => void,
  clock: () => number = () => performance.now(),
): StallWatch {
  let checkedAt = clock();
  /** Event-loop lag at the last check, in milliseconds. */
  let lastLagMs = 0;
  let usage = process.cpuUsage();

  const timer = setInterval(() => {
    const now = clock();
    const nextUsage = process.cpuUsage();
    lastLagMs = now - checkedAt - CHECK_INTERVAL_MS;
    if (lastLagMs >= MIN_STALL_MS) {
      const usedUs = nextUsage.user + nextUsage.system - usage.user - usage.system;
      onStall({ lateMs: lastLagMs, cpuMs: usedUs / US_PER_MS });
    }
    checkedAt = now;
    usage = nextUsage;
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    readDelayMs() {
      // Data that waited through a late check may be read until the next check, which is on time if
      // all was read.
      const lagMs = Math.max(lastLagMs, clock() - checkedAt - CHECK_INTERVAL_MS);
      return lagMs >= MIN_READ_DELAY_MS ? lagMs : 0;
    },
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}
