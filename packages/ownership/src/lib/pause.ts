/** Current time of the monotonic clock, in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits, and returns early when the signal aborts. */
export function pause(ms: number, signal: AbortSignal): Promise<void> {
  return createBell().wait(ms, signal);
}

/** A bell that ends the pause of a waiting task. */
export interface Bell {
  ring(): void;
  /** Waits for the bell or the time, whichever comes first; at most one task waits at a time. */
  wait(ms: number, signal: AbortSignal): Promise<void>;
}

/** Creates a bell. A ring while nobody waits ends the next wait at once. */
export function createBell(): Bell {
  let rung = false;
  let wake: (() => void) | undefined;

  function sleep(ms: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', finish);
        wake = undefined;
        resolve();
      };
      const timer = setTimeout(finish, ms);
      signal.addEventListener('abort', finish);
      wake = finish;
    });
  }

  return {
    ring() {
      rung = true;
      wake?.();
    },
    async wait(ms, signal) {
      if (!rung && ms > 0 && !signal.aborted) await sleep(ms, signal);
      rung = false;
    },
  };
}
