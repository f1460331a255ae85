import type { LoadMap } from './load-map.js';
import type { PlannedMove, PlannedRange } from './plan-moves.js';

/** Input of {@link planJoins}. */
export interface JoinInput {
  /** Ranges in key order, covering all keys. */
  readonly ranges: readonly PlannedRange[];
  readonly load: LoadMap;
  /** Joins are planned only while there are more ranges than this. */
  readonly maxRanges: number;
  readonly maxMoves: number;
}

/** A range counts as quiet up to this share of the average load of a range. */
const QUIET_SHARE = 0.5;

/**
 * Plans moves of quiet ranges to the owner of an adjacent range, so that the two can be joined.
 * Balancing only ever splits ranges, and each range costs a lease renewal.
 */
export function planJoins({ ranges, load, maxRanges, maxMoves }: JoinInput): PlannedMove[] {
  if (ranges.length <= maxRanges) return [];
  const weights = ranges.map((it) => load.weightWithin(it));
  const maxQuietWeight = (load.total() / ranges.length) * QUIET_SHARE;
  const order = ranges.map((_, index) => index);
  order.sort((a, b) => (weights[a] ?? 0) - (weights[b] ?? 0));
  /** Indices of the ranges that the plan moves, and of their neighbours. */
  const usedIndices = new Set<number>();
  const moves: PlannedMove[] = [];
  for (const index of order) {
    if (moves.length >= Math.min(maxMoves, ranges.length - maxRanges)) break;
    const range = ranges[index];
    if (!range?.movable || range.owner === undefined || (weights[index] ?? 0) > maxQuietWeight)
      continue;
    const neighbours = [index - 1, index + 1].filter((it) => !usedIndices.has(it));
    const target = neighbours
      .map((it) => ranges[it])
      .find((it) => it?.movable === true && it.owner !== undefined && it.owner !== range.owner);
    if (target?.owner === undefined || usedIndices.has(index)) continue;
    for (const it of [index - 1, index, index + 1]) usedIndices.add(it);
    moves.push({ first: range.first, last: range.last, to: target.owner });
  }
  return moves;
}
