import type { RangeRecord } from './placement-record.js';

/** Ranges of all services, and the next unused fencing token. */
export interface FencedRanges {
  readonly nextFence: number;
  readonly services: ReadonlyMap<string, readonly RangeRecord[]>;
}

/**
 * Assigns each owner a new fencing token for a new leader. An owner that has seen its token refuses
 * grants of the former leader, however late they arrive.
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
