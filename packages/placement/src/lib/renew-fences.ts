import type { RangeRecord } from './placement-record.js';

/** Ranges of all services, and the token that comes after all of theirs. */
export interface FencedRanges {
  readonly nextFence: number;
  readonly services: ReadonlyMap<string, readonly RangeRecord[]>;
}

/**
 * Gives each owner a token of its own under a new leader. An owner that has seen it refuses what the
 * former leader granted, however late that arrives.
 */
export function renewFences({ nextFence, services }: FencedRanges): FencedRanges {
  let next = nextFence;
  const renew = (range: RangeRecord): RangeRecord => ({
    ...range,
    owner: range.owner && { ...range.owner, fence: next++ },
  });
  const renewed = [...services].map(([name, ranges]) => [name, ranges.map(renew)] as const);
  return { services: new Map(renewed), nextFence: next };
}
