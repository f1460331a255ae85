/**
 * Difference between the progress of the two clocks above which a suspension is assumed, in
 * milliseconds.
 */
const MAX_DISAGREEMENT_MS = 150;

/** Clocks in milliseconds. */
export interface Clocks {
  /** Never jumps; stands still while the instance is suspended. */
  readonly monotonic: () => number;
  /** Time since the Unix epoch; may jump. */
  readonly timeOfDay: () => number;
}

/** The clocks of this process. */
export const processClocks: Clocks = {
  monotonic: () => performance.now(),
  timeOfDay: () => Date.now(),
};

/** Detects that the process may have been suspended. */
export interface SuspensionGuard {
  /**
   * Returns true if the clocks diverged since the last call; a jump of the time of day counts too.
   */
  mayHaveBeenSuspended(): boolean;
}

/** Creates a guard that compares how far both clocks advanced between calls. */
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
