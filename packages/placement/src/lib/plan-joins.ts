import type { LoadMap } from './load-map.js';
import type { PlannedMove, PlannedRange } from './plan-moves.js';

/** What the planner of joins sees. */
export interface JoinInput {
  /** Ranges in order, covering all keys. */
  readonly ranges: readonly PlannedRange[];
  readonly load: LoadMap;
  /** Ranges beyond this number are worth joining. */
  readonly maxRanges: number;
  readonly maxMoves: number;
}

/** Share of an average range's load below which a range goes to a neighbour's owner. */
const QUIET_SHARE = 0.5;

/**
 * Plans moves of quiet ranges to the owner of a neighbour, so that both can become one: balancing only
 * ever cuts, and each range costs a renewal.
 */
export function planJoins({ ranges, load, maxRanges, maxMoves }: JoinInput): PlannedMove[] {
  if (ranges.length <= maxRanges) return [];
  const weights = ranges.map((it) => load.within(it).reduce((sum, { weight }) => sum + weight, 0));
  const quiet = (load.total() / ranges.length) * QUIET_SHARE;
  const order = ranges.map((_, index) => index);
  order.sort((a, b) => (weights[a] ?? 0) - (weights[b] ?? 0));
  const taken = new Set<number>();
  const moves: PlannedMove[] = [];
  for (const index of order) {
    if (moves.length >= Math.min(maxMoves, ranges.length - maxRanges)) break;
    const range = ranges[index];
    if (!range?.movable || range.owner === undefined || (weights[index] ?? 0) > quiet) continue;
    const neighbours = [index - 1, index + 1].filter((it) => !taken.has(it));
    const target = neighbours
      .map((it) => ranges[it])
      .find((it) => it?.movable === true && it.owner !== undefined && it.owner !== range.owner);
    if (target?.owner === undefined || taken.has(index)) continue;
    for (const it of [index - 1, index, index + 1]) taken.add(it);
    moves.push({ first: range.first, last: range.last, to: target.owner });
  }
  return moves;
}
