import { xoroshiro128plus } from 'pure-rand';

/** A seeded random number generator. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, `bound`). */
  below(bound: number): number;
}

const UINT32_VALUES = 2 ** 32;

/** Creates a generator whose numbers depend on the seed alone. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => (generator.unsafeNext() >>> 0) / UINT32_VALUES;
  return { next, below: (bound) => Math.floor(next() * bound) };
}
