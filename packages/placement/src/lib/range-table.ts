import {
  type HeldRange,
  type RecordTimes,
  cutOut,
  newHolder,
  recordOf,
  unownedRange,
} from './held-range.js';
import { type ServerIncarnation, divideKeys, isSameIncarnation } from './key-range.js';
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
export function recordsOf(table: RangeTable, times: RecordTimes): RangeRecord[] {
  return table.ranges.map((it) => recordOf(it, times));
}

/**
 * Applies a planned move: cuts the span out and names the new owner. The former owner stays among those
 * that may hold the range. Returns the range, or `undefined` when it can't be moved now.
 */
export function applyMove(
  table: RangeTable,
  move: PlannedMove,
  to: ServerIncarnation,
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
    if (before && hasSameOwner(before, range) && before.owner?.fence === range.owner?.fence) {
      joinInto(before, range);
      continue;
    }
    joined.push(range);
  }
  table.ranges = joined;
}

/**
 * Joins neighbours of one owner that were granted under different tokens. The joined range gets a new
 * token and has to be granted again under it; until then the owner serves it under the old ones. Returns
 * the joined ranges, which stay busy.
 */
export function joinUnderNewFence(
  table: RangeTable,
  maxJoins: number,
  nextFence: () => number,
): HeldRange[] {
  const joined: HeldRange[] = [];
  const regrant = new Set<HeldRange>();
  for (const range of table.ranges) {
    const before = joined.at(-1);
    const mayJoin = before && (regrant.has(before) || regrant.size < maxJoins);
    if (before?.owner && range.owner && mayJoin && hasSameOwner(before, range)) {
      joinInto(before, range);
      regrant.add(before);
      continue;
    }
    joined.push(range);
  }
  table.ranges = joined;
  for (const range of regrant) {
    if (range.owner) range.owner.fence = nextFence();
    range.busy = true;
  }
  return [...regrant];
}

function joinInto(range: HeldRange, next: HeldRange): void {
  range.last = next.last;
  range.grantedAt = Math.max(range.grantedAt, next.grantedAt);
  range.renewedAt = Math.min(range.renewedAt, next.renewedAt);
  const bound = range.owner?.bound;
  const other = next.owner?.bound;
  if (!bound || !other) return;
  bound.answeredUntil = Math.max(bound.answeredUntil, other.answeredUntil);
  bound.unansweredUntil = Math.max(bound.unansweredUntil, other.unansweredUntil);
}

function hasSameOwner(a: HeldRange, b: HeldRange): boolean {
  const isIdle = [a, b].every((it) => !it.busy && !it.renewing && it.granted);
  return (
    isIdle &&
    isSameIncarnation(a.owner?.incarnation, b.owner?.incarnation) &&
    a.owner?.inherited === b.owner?.inherited
  );
}
