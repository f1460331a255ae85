import { xoroshiro128plus } from 'pure-rand';

/** A seeded source of random numbers. */
export interface Random {
  /** Returns a number from 0 up to but not including 1. */
  next(): number;
  /** Returns a whole number from 0 up to but not including `bound`. */
  below(bound: number): number;
}

const UINT32_VALUES = 2 ** 32;

/** Creates a source whose numbers depend on the seed alone. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => (generator.unsafeNext() >>> 0) / UINT32_VALUES;
  return { next, below: (bound) => Math.floor(next() * bound) };
}
