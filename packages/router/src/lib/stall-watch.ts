/** Time between two looks at the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 100;
/** Lateness from which a look counts as a stall, in milliseconds. */
const MIN_STALL_MS = 250;
/** Lateness from which what is read now may have waited to be read, in milliseconds. */
const MIN_READ_DELAY_MS = 100;
const US_PER_MS = 1_000;

/** A time during which this process ran none of its tasks, or only one. */
export interface Stall {
  /** How late a timer was, in milliseconds. */
  readonly lateMs: number;
  /** Processor time that the process used meanwhile, in milliseconds: little of it means that it was not run. */
  readonly cpuMs: number;
}

/** Watches how late the event loop is. */
export interface StallWatch extends Disposable {
  /** How long what is read now may have waited, in milliseconds; 0 unless the loop is late. */
  readDelayMs(): number;
}

/** Calls back after each stall of the event loop until it is disposed of. */
export function watchStalls(
  onStall: (stall: Stall) => void,
  clock: () => number = () => performance.now(),
): StallWatch {
  let checkedAt = clock();
  /** How late the last look was. */
  let lastLagMs = 0;
  let usage = process.cpuUsage();

  const timer = setInterval(() => {
    const now = clock();
    const used = process.cpuUsage(usage);
    lastLagMs = now - checkedAt - CHECK_INTERVAL_MS;
    if (lastLagMs >= MIN_STALL_MS) {
      onStall({ lateMs: lastLagMs, cpuMs: (used.user + used.system) / US_PER_MS });
    }
    checkedAt = now;
    usage = process.cpuUsage();
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    readDelayMs() {
      // What had waited through a late look is read until the next one, which is on time once it has been.
      const lagMs = Math.max(lastLagMs, clock() - checkedAt - CHECK_INTERVAL_MS);
      return lagMs >= MIN_READ_DELAY_MS ? lagMs : 0;
    },
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}
