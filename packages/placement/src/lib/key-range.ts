import type { KeySpan } from '@boragepoint/platform';

/** One life of a backend server: the same id with another start holds nothing of the former's. */
export interface ServerIncarnation {
  readonly server: string;
  readonly address: string;
  readonly startedMs: number;
}

/** Smallest and largest key. */
export const FIRST_KEY = 0;
export const LAST_KEY = 65_535;

/** Returns whether two lives are the same process. */
export function isSameIncarnation(
  a: ServerIncarnation | undefined,
  b: ServerIncarnation | undefined,
): boolean {
  return a !== undefined && a.server === b?.server && a.startedMs === b.startedMs;
}

/** Finds the range that holds a key among sorted ranges, by bisection. */
export function findRange<R extends KeySpan>(ranges: readonly R[], key: number): R | undefined {
  let low = 0;
  let high = ranges.length - 1;
  while (low <= high) {
    const middle = (low + high) >> 1;
    const range = ranges[middle];
    if (range === undefined) return undefined;
    if (key < range.first) high = middle - 1;
    else if (key > range.last) low = middle + 1;
    else return range;
  }
  return undefined;
}

/** Divides all keys into `count` spans of nearly equal length. */
export function divideKeys(count: number): KeySpan[] {
  const size = (LAST_KEY + 1) / count;
  return Array.from({ length: count }, (_, index) => ({
    first: Math.round(index * size),
    last: Math.round((index + 1) * size) - 1,
  }));
}
