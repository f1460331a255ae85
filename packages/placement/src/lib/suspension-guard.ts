/** Disagreement of the two clocks, in milliseconds, that may mean a suspension. */
const MAX_DISAGREEMENT_MS = 150;

/** Clocks in milliseconds. */
export interface Clocks {
  /** Steady, stands still while the instance is suspended. */
  readonly monotonic: () => number;
  /** Time of day, may jump. */
  readonly timeOfDay: () => number;
}

/** The clocks of this process. */
export const processClocks: Clocks = {
  monotonic: () => performance.now(),
  timeOfDay: () => Date.now(),
};

/** Notices that the process may have been suspended. */
export interface SuspensionGuard {
  /** True once after the clocks disagree with each other; any jump of the time of day counts too. */
  mayHaveBeenSuspended(): boolean;
}

/** Creates a guard that compares how far both clocks moved between calls. */
export function createSuspensionGuard(clocks: Clocks): SuspensionGuard {
  let offset = clocks.timeOfDay() - clocks.monotonic();
  return {
    mayHaveBeenSuspended() {
      const current = clocks.timeOfDay() - clocks.monotonic();
      const moved = Math.abs(current - offset) > MAX_DISAGREEMENT_MS;
      offset = current;
      return moved;
    },
  };
}
