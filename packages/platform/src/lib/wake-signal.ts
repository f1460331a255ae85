/** A bell that ends the pause of a waiting task. */
export interface WakeSignal {
  readonly wake: () => void;
  /** Waits for the bell, the time or a signal, whichever comes first; at most one task waits at a time. */
  wait(ms: number, ...signals: readonly AbortSignal[]): Promise<void>;
}

/** Creates a bell. A ring while nobody waits ends the next wait at once. */
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
