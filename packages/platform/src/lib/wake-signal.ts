/** Wakes a task that waits for work or a timeout. */
export interface WakeSignal {
  /** Ends the current wait, or the next one if no task is waiting. */
  readonly wake: () => void;
  /**
   * Waits until `wake` is called, `ms` milliseconds have passed or one of the signals aborts,
   * whichever comes first. At most one task may wait at a time.
   */
  wait(ms: number, ...signals: readonly AbortSignal[]): Promise<void>;
}

/** Creates a wake-up signal. */
export function createWakeSignal(): WakeSignal {
  let isPending = false;
  let endWait: (() => void) | undefined;

  function sleep(ms: number, signals: readonly AbortSignal[]): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        for (const signal of signals) signal.removeEventListener('abort', finish);
        endWait = undefined;
        resolve();
      };
      const timer = setTimeout(finish, ms);
      for (const signal of signals) signal.addEventListener('abort', finish);
      endWait = finish;
    });
  }

  return {
    wake() {
      isPending = true;
      endWait?.();
    },
    async wait(ms, ...signals) {
      const isAborted = signals.some((it) => it.aborted);
      if (!isPending && ms > 0 && !isAborted) await sleep(ms, signals);
      isPending = false;
    },
  };
}
