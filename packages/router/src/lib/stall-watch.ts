/** Time between two looks at the clock, in milliseconds. */
const LOOK_MS = 250;
/** Lateness from which a look counts as a stall, in milliseconds. */
const STALL_MS = 250;
const US_PER_MS = 1_000;

/** A time during which this process ran none of its tasks, or only one. */
export interface Stall {
  /** How late a timer was, in milliseconds. */
  readonly lateMs: number;
  /** Processor time that the process used meanwhile, in milliseconds: little of it means that it was not run. */
  readonly cpuMs: number;
}

/** Calls back after each stall of the event loop until it is disposed of. */
export function watchStalls(onStall: (stall: Stall) => void): Disposable {
  let lookedAt = performance.now();
  let usage = process.cpuUsage();

  const timer = setInterval(() => {
    const now = performance.now();
    const used = process.cpuUsage(usage);
    const lateMs = now - lookedAt - LOOK_MS;
    if (lateMs >= STALL_MS) {
      onStall({ lateMs, cpuMs: (used.user + used.system) / US_PER_MS });
    }
    lookedAt = now;
    usage = process.cpuUsage();
  }, LOOK_MS);
  timer.unref();
  return {
    [Symbol.dispose]() {
      clearInterval(timer);
    },
  };
}
