import type { Clocks } from '../lib/suspension-guard.js';

/** Clocks that tests move by hand, in milliseconds. */
export interface FakeClocks extends Clocks {
  advance(ms: number): void;
  /** The time of day jumps, or the instance was suspended: the monotonic clock stands still. */
  jump(ms: number): void;
}

/** Creates clocks at an arbitrary time. */
export function createFakeClocks(): FakeClocks {
  let monotonic = 1_000;
  let timeOfDay = 1_700_000_000_000;
  return {
    monotonic: () => monotonic,
    timeOfDay: () => timeOfDay,
    advance(ms) {
      monotonic += ms;
      timeOfDay += ms;
    },
    jump(ms) {
      timeOfDay += ms;
    },
  };
}
