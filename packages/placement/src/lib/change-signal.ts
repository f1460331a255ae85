/** Tasks that wait for the same event. */
export interface ChangeSignal {
  /** Resolves at the next event, or after `ms` milliseconds. */
  wait(ms: number): Promise<void>;
  wakeAll(): void;
}

/** Creates an event that nobody waits for yet. */
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
