import type { Clocks } from '../lib/suspension-guard.js';

/** Clocks that tests advance explicitly, in milliseconds. */
export interface FakeClocks extends Clocks {
  advance(ms: number): void;
  /** Advances only the time of day, as after a clock change or a suspension of the instance. */
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
