/** A wake-up signal for any number of waiting tasks; it does not remember past changes. */
export interface ChangeSignal {
  /** Resolves at the next `wakeAll`, or after `ms` milliseconds. */
  wait(ms: number): Promise<void>;
  wakeAll(): void;
}

/** Creates a signal without waiting tasks. */
export function createChangeSignal(): ChangeSignal {
  const waiting = new Set<() => void>();
  return {
    wait(ms) {
      return new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, ms);
        waiting.add(finish);
      });
    },
    wakeAll() {
      for (const wake of [...waiting]) wake();
    },
  };
}
