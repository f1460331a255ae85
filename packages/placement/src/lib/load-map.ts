import type { KeySpan } from '@boragepoint/platform';

import { FIRST_KEY, LAST_KEY } from './key-range.js';

/** Time in which the weight of a request halves, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** Entries below this weight are dropped. */
const MIN_WEIGHT = 0.05;
/** Weights are not decayed more often than this, in milliseconds. */
const MIN_DECAY_MS = 10;
const KEYS = LAST_KEY - FIRST_KEY + 1;

/** Number of requests for one key, weighted by age. */
export interface KeyLoad {
  readonly key: number;
  readonly weight: number;
}

/** The keys that have a weight, and the sums of their weights; valid until the map changes. */
export interface LoadProfile {
  /** In ascending order. */
  readonly keys: ArrayLike<number>;
  /** Sum of the weights of the first `index` of these keys; one entry more than keys. */
  readonly sums: ArrayLike<number>;
  /** Index of the first of these keys that is at least `key`. */
  readonly indexFrom: (key: number) => number;
}

/** Exponentially decaying request counts by key. */
export interface LoadMap {
  record(keys: readonly number[]): void;
  /** Decays all weights to the time `now`. */
  decay(now: number): void;
  /** All weights. */
  profile(): LoadProfile;
  /** Keys within a span that have a weight, in ascending order. */
  within(span: KeySpan): KeyLoad[];
  /** Sum of the weights within a span. */
  weightWithin(span: KeySpan): number;
  /** Multiplies the weights within a span. */
  scale(span: KeySpan, factor: number): void;
  /** Replaces the weights within a span; keys that are missing get none. */
  replace(span: KeySpan, loads: readonly KeyLoad[]): void;
  /** Steady request rate per second that sustains a weight. */
  perSecond(weight: number): number;
  /** Sum of all weights. */
  total(): number;
}

/** Creates an empty load map; `now` is in milliseconds of a monotonic clock. */
export function createLoadMap(now: number, halfLifeMs: number = HALF_LIFE_MS): LoadMap {
  const weights = new Float64Array(KEYS);
  // The profile is rebuilt twice a second, in place.
  const keys = new Uint32Array(KEYS);
  const sums = new Float64Array(KEYS + 1);
  /** Index of the first key of the profile from each key on. */
  const indices = new Uint32Array(KEYS + 1);
  let cachedProfile: LoadProfile | undefined;
  let decayedAt = now;
  /** Factor by which the weights have still to be multiplied. */
  let pendingFactor = 1;

  /** Applies the pending factor and rebuilds the profile, in one pass over all keys. */
  function rebuild(): LoadProfile {
    const factor = pendingFactor;
    let count = 0;
    let sum = 0;
    for (let key = 0; key < KEYS; key += 1) {
      indices[key] = count;
      const before = weights[key] ?? 0;
      if (before === 0) continue;
      const weight = before * factor;
      if (weight < MIN_WEIGHT) {
        weights[key] = 0;
        continue;
      }
      weights[key] = weight;
      keys[count] = key;
      sum += weight;
      count += 1;
      sums[count] = sum;
    }
    indices[KEYS] = count;
    pendingFactor = 1;
    return {
      keys: keys.subarray(0, count),
      sums: sums.subarray(0, count + 1),
      indexFrom: (key) => indices[key] ?? 0,
    };
  }

  const profile = () => (cachedProfile ??= rebuild());

  /** Prepares a change of weights. */
  function beforeChange(): void {
    if (pendingFactor !== 1) rebuild();
    cachedProfile = undefined;
  }

  function weightWithin({ first, last }: KeySpan): number {
    const { sums, indexFrom } = profile();
    return (sums[indexFrom(last + 1)] ?? 0) - (sums[indexFrom(first)] ?? 0);
  }

  return {
    record(recorded) {
      beforeChange();
      for (const key of recorded) weights[key] = (weights[key] ?? 0) + 1;
    },
    decay(at) {
      if (at < decayedAt + MIN_DECAY_MS) return;
      pendingFactor *= 0.5 ** ((at - decayedAt) / halfLifeMs);
      decayedAt = at;
      cachedProfile = undefined;
    },
    profile,
    within({ first, last }) {
      const { keys, indexFrom } = profile();
      const [from, to] = [indexFrom(first), indexFrom(last + 1)];
      return Array.from({ length: to - from }, (_, index) => {
        const key = keys[from + index] ?? 0;
        return { key, weight: weights[key] ?? 0 };
      });
    },
    weightWithin,
    scale({ first, last }, factor) {
      beforeChange();
      for (let key = first; key <= last; key += 1) weights[key] = (weights[key] ?? 0) * factor;
    },
    replace(span, loads) {
      beforeChange();
      weights.fill(0, span.first, span.last + 1);
      for (const { key, weight } of loads) weights[key] = weight;
    },
    perSecond: (weight) => (weight * Math.LN2 * 1_000) / halfLifeMs,
    total: () => weightWithin({ first: FIRST_KEY, last: LAST_KEY }),
  };
}
