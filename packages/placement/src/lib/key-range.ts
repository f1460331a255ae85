import type { KeySpan } from '@boragepoint/platform';

/**
 * One run of a backend server's process. A process with the same id and another start time holds
 * none of its leases.
 */
export interface ServerIncarnation {
  readonly server: string;
  readonly address: string;
  /** Start of the process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
}

/** Smallest and largest key. */
export const FIRST_KEY = 0;
export const LAST_KEY = 65_535;

/** Returns whether both are the same run of the same server's process. */
export function isSameIncarnation(
  a: ServerIncarnation | undefined,
  b: ServerIncarnation | undefined,
): boolean {
  return a !== undefined && a.server === b?.server && a.startedMs === b.startedMs;
}

/** Returns whether spans lie within the keys, in key order and without a key in common. */
export function isInOrder(spans: readonly KeySpan[]): boolean {
  let next = FIRST_KEY;
  for (const { first, last } of spans) {
    if (first < next || last < first || last > LAST_KEY) return false;
    next = last + 1;
  }
  return true;
}

/** Returns the number of keys in spans that have none in common. */
export const countKeys = (spans: readonly KeySpan[]): number =>
  spans.reduce((sum, { first, last }) => sum + last - first + 1, 0);

/** Finds the range that contains a key, by binary search over sorted ranges. */
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
