import { test } from 'node:test';

import { expect } from 'earl';

import { type HeldRange, newHolder, unownedRange } from '../lib/held-range.js';
import { createLoadMap } from '../lib/load-map.js';
import { planJoins } from '../lib/plan-joins.js';
import { applyMove, joinNeighbours, joinUnderNewFence } from '../lib/range-table.js';

const incarnationOf = (server: string) => ({ server, address: `${server}:1`, startedMs: 1 });

function held(first: number, last: number, server: string, fence: number): HeldRange {
  return {
    ...unownedRange({ first, last }),
    owner: newHolder(incarnationOf(server), fence),
    granted: true,
  };
}

const spans = (ranges: readonly HeldRange[]) =>
  ranges.map(
    (it) => `${it.first}-${it.last} ${it.owner?.incarnation.server ?? ''} #${it.owner?.fence ?? 0}`,
  );

test('a move splits its span off and keeps the former owner as a holder', () => {
  const table = { ranges: [held(0, 99, 'a', 1)] };
  const moved = applyMove(table, { first: 40, last: 59, to: 'b' }, incarnationOf('b'), 2);
  expect(spans(table.ranges)).toEqual(['0-39 a #1', '40-59 b #2', '60-99 a #1']);
  expect(moved?.former.map((it) => `${it.incarnation.server} #${it.fence}`)).toEqual(['a #1']);
  expect(moved?.granted).toEqual(false);
});

test('a range with a renewal in flight is not moved', () => {
  const table = { ranges: [{ ...held(0, 99, 'a', 1), renewing: true }] };
  expect(applyMove(table, { first: 0, last: 9, to: 'b' }, incarnationOf('b'), 2)).toEqual(
    undefined,
  );
});

// Guards against routers that go on sending keys to their former owner: a range that had moved was
// joined to one that had not, and routers which had not heard of the move were never told.
test('a joined range counts as changed when either of its parts last was', () => {
  const table = { ranges: [held(0, 49, 'a', 3), { ...held(50, 99, 'a', 3), change: 8 }] };
  joinNeighbours(table);
  expect(table.ranges.map((it) => it.change)).toEqual([8]);
});

test('adjacent ranges under one fencing token are joined', () => {
  const table = { ranges: [held(0, 9, 'a', 1), held(10, 19, 'a', 1), held(20, 29, 'a', 2)] };
  joinNeighbours(table);
  expect(spans(table.ranges)).toEqual(['0-19 a #1', '20-29 a #2']);
});

test('adjacent ranges under different fencing tokens are joined under a new token', () => {
  const table = {
    ranges: [held(0, 9, 'a', 1), held(10, 19, 'a', 4), held(20, 29, 'a', 2), held(30, 39, 'b', 3)],
  };
  const joined = joinUnderNewFence(table, 8, () => 9);
  expect(spans(table.ranges)).toEqual(['0-29 a #9', '30-39 b #3']);
  expect(joined.map((it) => it.busy)).toEqual([true]);
});

test('a joined range keeps the latest lease bound of its parts', () => {
  const [first, second] = [held(0, 9, 'a', 1), held(10, 19, 'a', 2)];
  if (second.owner) second.owner.bound.unansweredUntil = 700;
  const table = { ranges: [first, second] };
  joinUnderNewFence(table, 8, () => 9);
  expect(table.ranges[0]?.owner?.bound.unansweredUntil).toEqual(700);
});

test('quiet ranges move to the owner of an adjacent range when there are too many ranges', () => {
  const load = createLoadMap(0);
  load.record([5, 5, 5, 5, 25, 25, 25, 25]);
  const range = (first: number, last: number, owner: string) => ({
    first,
    last,
    owner,
    movable: true,
  });
  const ranges = [range(0, 9, 'a'), range(10, 19, 'b'), range(20, 29, 'c'), range(30, 39, 'd')];
  const plan = (maxRanges: number) => planJoins({ ranges, load, maxRanges, maxMoves: 4 });
  expect(plan(4)).toEqual([]);
  expect(plan(3)).toEqual([{ first: 10, last: 19, to: 'a' }]);
});
