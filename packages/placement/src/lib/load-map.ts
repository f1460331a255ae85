import type { KeySpan } from '@boragepoint/platform';

import { partitionPoint } from './partition-point.js';

/** Time in which the weight of a request halves, in milliseconds. */
const HALF_LIFE_MS = 4_000;
/** Entries below this weight are dropped. */
const MIN_WEIGHT = 0.05;

/** Number of requests for one key, weighted by age. */
export interface KeyLoad {
  readonly key: number;
  readonly weight: number;
}

/** Exponentially decaying request counts by key. */
export interface LoadMap {
  record(keys: readonly number[]): void;
  /** Decays all weights to the time `now`. */
  decay(now: number): void;
  /** Keys within a span that have a weight, in ascending order. */
  within(span: KeySpan): KeyLoad[];
  /** Steady request rate per second that sustains a weight. */
  perSecond(weight: number): number;
  /** Sum of all weights. */
  total(): number;
}

/** Returns the index of the first entry whose key is at least `key`. */
const firstIndexFrom = (sorted: readonly KeyLoad[], key: number) =>
  partitionPoint(sorted, (it) => it.key >= key);

/** Creates an empty load map; `now` is in milliseconds of a monotonic clock. */
export function createLoadMap(now: number, halfLifeMs: number = HALF_LIFE_MS): LoadMap {
  const weights = new Map<number, number>();
  let sorted: KeyLoad[] | undefined;
  let decayedAt = now;

  function sortedLoads(): KeyLoad[] {
    sorted ??= [...weights].map(([key, weight]) => ({ key, weight })).sort((a, b) => a.key - b.key);
    return sorted;
  }

  return {
    record(keys) {
      for (const key of keys) weights.set(key, (weights.get(key) ?? 0) + 1);
      sorted = undefined;
    },
    decay(at) {
      const factor = 0.5 ** ((at - decayedAt) / halfLifeMs);
      decayedAt = at;
      for (const [key, weight] of weights) {
        if (weight * factor < MIN_WEIGHT) weights.delete(key);
        else weights.set(key, weight * factor);
      }
      sorted = undefined;
    },
    within({ first, last }) {
      const all = sortedLoads();
      return all.slice(firstIndexFrom(all, first), firstIndexFrom(all, last + 1));
    },
    perSecond: (weight) => (weight * Math.LN2 * 1_000) / halfLifeMs,
    total: () => sortedLoads().reduce((sum, it) => sum + it.weight, 0),
  };
}
