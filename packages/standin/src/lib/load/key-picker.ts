import type { Random } from '../random.js';

/** Distribution of requests over keys. */
export type KeyPlan =
  | { readonly kind: 'uniform'; readonly count: number }
  | {
      readonly kind: 'zipf';
      readonly count: number;
      readonly exponent: number;
      /** Time after which the hot keys change, in milliseconds; without it, they never change. */
      readonly rotateEveryMs?: number;
    };

/** Picks the key of a request that is due `atMs` milliseconds after the start. */
export type KeyPicker = (atMs: number) => string;

/**
 * Each rotation shifts the hot set by one seventh of all keys. The number is odd, so that hot sets
 * of successive rotations differ.
 */
const ROTATION_STEPS = 7;

/** Creates a picker whose choices depend only on the random number generator. */
export function createKeyPicker(plan: KeyPlan, random: Random): KeyPicker {
  if (plan.kind === 'uniform') return () => keyName(random.below(plan.count));
  const cumulative = zipfWeights(plan.count, plan.exponent);
  const step = Math.max(1, Math.floor(plan.count / ROTATION_STEPS));
  return (atMs) => {
    const rank = findRank(cumulative, random.next());
    const rotations = Math.floor(atMs / (plan.rotateEveryMs ?? Infinity));
    return keyName((rank + rotations * step) % plan.count);
  };
}

function keyName(index: number): string {
  return `key-${index}`;
}

function zipfWeights(count: number, exponent: number): Float64Array {
  const cumulative = new Float64Array(count);
  let sum = 0;
  for (let rank = 0; rank < count; rank += 1) {
    sum += 1 / (rank + 1) ** exponent;
    cumulative[rank] = sum;
  }
  return cumulative.map((it) => it / sum);
}

/** Finds the first rank whose cumulative weight is above the value, by binary search. */
function findRank(cumulative: Float64Array, value: number): number {
  let low = 0;
  let high = cumulative.length - 1;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((cumulative[middle] ?? 1) > value) high = middle;
    else low = middle + 1;
  }
  return low;
}
