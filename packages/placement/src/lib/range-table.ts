import {
  type HeldRange,
  type RecordTimes,
  cutOut,
  newHolder,
  recordOf,
  unownedRange,
} from './held-range.js';
import { type ServerIncarnation, divideKeys, isSameIncarnation } from './key-range.js';
import type { RangeRecord } from './placement-record.js';
import type { PlannedMove } from './plan-moves.js';

/** Ranges of one service, in key order, covering all keys. */
export interface RangeTable {
  ranges: HeldRange[];
}

/** Creates ranges without owners. */
export function createRangeTable(count: number): RangeTable {
  return { ranges: divideKeys(count).map(unownedRange) };
}

/** Returns the records of all ranges. */
export function recordsOf(table: RangeTable, times: RecordTimes): RangeRecord[] {
  return table.ranges.map((it) => recordOf(it, times));
}

/**
 * Applies a planned move: splits the span off and sets its new owner. The former owner stays among
 * the holders. Returns the range, or `undefined` if it can't be moved now.
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

/**
 * Joins adjacent idle ranges that one grant can cover: the same owner under the same fencing token.
 */
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
 * Joins adjacent ranges of one owner that were granted under different fencing tokens. A joined
 * range gets a new token and must be granted again under it; until then the owner serves it under
 * the old tokens. Returns the joined ranges, which are marked as busy until they are granted.
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
  range.change = Math.max(range.change, next.change);
  const bound = range.owner?.bound;
  const other = next.owner?.bound;
  if (!bound || !other) return;
  bound.answeredUntil = Math.max(bound.answeredUntil, other.answeredUntil);
  bound.unansweredUntil = Math.max(bound.unansweredUntil, other.unansweredUntil);
  bound.settledAt = Math.max(bound.settledAt, other.settledAt);
}

function hasSameOwner(a: HeldRange, b: HeldRange): boolean {
  const isIdle = [a, b].every((it) => !it.busy && !it.renewing && it.granted);
  return (
    isIdle &&
    isSameIncarnation(a.owner?.incarnation, b.owner?.incarnation) &&
    a.owner?.inherited === b.owner?.inherited
  );
}
