import { setTimeout as sleep } from 'node:timers/promises';

/** Current time of the monotonic clock, in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits, and returns early when the signal aborts. */
export async function pause(ms: number, signal: AbortSignal): Promise<void> {
  if (signal.aborted || ms <= 0) return;
  await sleep(ms, undefined, { signal }).catch(() => undefined);
}

/** A bell that ends the pause of a waiting task. */
export interface Bell {
  ring(): void;
  /** Waits for the bell or the time, whichever comes first. */
  wait(ms: number, signal: AbortSignal): Promise<void>;
}

/** Creates a bell. A ring while nobody waits ends the next wait at once. */
export function createBell(): Bell {
  let rung = false;
  let wake: AbortController | undefined;
  return {
    ring() {
      rung = true;
      wake?.abort();
    },
    async wait(ms, signal) {
      if (!rung) {
        wake = new AbortController();
        await pause(ms, AbortSignal.any([signal, wake.signal]));
        wake = undefined;
      }
      rung = false;
    },
  };
}
