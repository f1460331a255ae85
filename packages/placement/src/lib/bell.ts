/** Wakes one waiting task. */
export interface Bell {
  readonly ring: () => void;
  /** Waits for a ring, for at most `ms` milliseconds; a ring while nobody waits ends the next wait. */
  wait(ms: number): Promise<void>;
}

/** Creates a bell. */
export function createBell(): Bell {
  let rung = false;
  let wake: (() => void) | undefined;
  return {
    ring() {
      rung = true;
      wake?.();
    },
    async wait(ms) {
      if (!rung) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, ms);
          wake = () => {
            clearTimeout(timer);
            resolve();
          };
        });
      }
      wake = undefined;
      rung = false;
    },
  };
}
