import { type HeldRange, cutOut, newHolder, recordOf, unownedRange } from './held-range.js';
import { type ServerLife, divideKeys } from './key-range.js';
import type { PlannedMove } from './plan-moves.js';
import type { RangeRecord } from './placement-record.js';

/** Ranges of one service, sorted, covering all keys. */
export interface RangeTable {
  ranges: HeldRange[];
}

/** Creates ranges without owners. */
export function createRangeTable(count: number): RangeTable {
  return { ranges: divideKeys(count).map(unownedRange) };
}

/** Records of all ranges. */
export function recordsOf(table: RangeTable): RangeRecord[] {
  return table.ranges.map(recordOf);
}

/**
 * Applies a planned move: cuts the span out and names the new owner. The former owner stays among those
 * that may hold the range. Returns the range, or `undefined` when it can't be moved now.
 */
export function applyMove(
  table: RangeTable,
  move: PlannedMove,
  to: ServerLife,
  fence: number,
): HeldRange | undefined {
  const index = table.ranges.findIndex((it) => it.first <= move.first && it.last >= move.last);
  const range = table.ranges[index];
  if (!range || range.busy || range.renewing) return undefined;
  const { parts, cut } = cutOut(range, move);
  table.ranges.splice(index, 1, ...parts);
  if (cut.owner) cut.former.push(cut.owner);
  cut.owner = newHolder(to, fence);
  cut.granted = false;
  cut.busy = true;
  return cut;
}

/** Joins neighbours that one grant covers: the same life under the same token, both idle. */
export function joinNeighbours(table: RangeTable): void {
  const joined: HeldRange[] = [];
  for (const range of table.ranges) {
    const before = joined.at(-1);
    if (before && canJoin(before, range)) {
      before.last = range.last;
      const a = before.owner?.bound;
      const b = range.owner?.bound;
      if (a && b) {
        a.answeredUntil = Math.max(a.answeredUntil, b.answeredUntil);
        a.unansweredUntil = Math.max(a.unansweredUntil, b.unansweredUntil);
      }
      continue;
    }
    joined.push(range);
  }
  table.ranges = joined;
}

function canJoin(a: HeldRange, b: HeldRange): boolean {
  const isIdle = [a, b].every((it) => !it.busy && !it.renewing && it.granted);
  return (
    isIdle &&
    a.owner !== undefined &&
    a.owner.life.server === b.owner?.life.server &&
    a.owner.life.startedMs === b.owner.life.startedMs &&
    a.owner.fence === b.owner.fence &&
    a.owner.inherited === b.owner.inherited
  );
}
