/** Source of time and timers, which tests replace by a simulated one. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Calls `fn` once after `ms` milliseconds, unless the returned timer is disposed before. */
  schedule(ms: number, fn: () => void): Disposable;
}

/**
 * Creates a clock on the monotonic time of the process. Its timers don't keep the process alive.
 */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    schedule(ms, fn) {
      const timer = setTimeout(fn, ms).unref();
      return {
        [Symbol.dispose]() {
          clearTimeout(timer);
        },
      };
    },
  };
}
