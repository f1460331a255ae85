import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { divideKeys } from '../lib/key-range.js';
import { createLoadMap } from '../lib/load-map.js';
import { type PlannedMove, type PlannedRange, planMoves } from '../lib/plan-moves.js';

const server = (id: string, capacity = 10) => ({ id, capacity });

function range(first: number, last: number, owner?: string, movable = true): PlannedRange {
  return { first, last, owner, movable };
}

function loadOf(requests: Readonly<Record<number, number>>) {
  const load = createLoadMap(0);
  for (const [key, count] of Object.entries(requests)) {
    load.record(Array.from({ length: count }, () => Number(key)));
  }
  return load;
}

const plan = (
  servers: ReturnType<typeof server>[],
  ranges: PlannedRange[],
  requests: Readonly<Record<number, number>>,
): PlannedMove[] => planMoves({ servers, ranges, load: loadOf(requests), maxMoves: 8 });

test('ranges without an owner are spread over all servers', () => {
  const ranges = divideKeys(8).map((it) => range(it.first, it.last));
  const moves = plan([server('a'), server('b'), server('c'), server('d')], ranges, {});
  const counts = ['a', 'b', 'c', 'd'].map((id) => moves.filter((it) => it.to === id).length);
  expect(counts).toEqual([2, 2, 2, 2]);
});

test('evenly loaded servers cause no moves', () => {
  const ranges = [range(0, 99, 'a'), range(100, 65_535, 'b')];
  expect(plan([server('a'), server('b')], ranges, { 5: 10, 200: 10 })).toEqual([]);
});

test('differences within random variation cause no moves', () => {
  const counts = [12, 21, 17, 14, 19, 16];
  const ranges = divideKeys(counts.length).map((it, index) =>
    range(it.first, it.last, `s${index}`),
  );
  const requests = Object.fromEntries(
    ranges.flatMap(({ first }, index) =>
      Array.from({ length: counts[index] ?? 0 }, (_, it) => [first + it * 100, 1]),
    ),
  );
  const servers = counts.map((_, index) => server(`s${index}`));
  expect(plan(servers, ranges, requests)).toEqual([]);
});

test('with maxMoves 0, only ranges without an owner are placed', () => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, undefined)];
  const load = loadOf({ 10: 40, 500: 40, 900: 40 });
  const servers = [server('a'), server('b')];
  const moves = planMoves({ servers, ranges, load, maxMoves: 0 });
  expect(moves).toEqual([{ first: 32_768, last: 65_535, to: 'b' }]);
});

test('adjacent hot keys in one range are divided between servers', () => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const moves = plan([server('a'), server('b')], ranges, { 10: 10, 11: 10, 12: 10, 13: 10 });
  expect(moves.length).toEqual(1);
  expect(moves[0]?.to).toEqual('b');
  const moved = [10, 11, 12, 13].filter(
    (it) => it >= (moves[0]?.first ?? 0) && it <= (moves[0]?.last ?? -1),
  );
  expect(moved.length).toEqual(2);
});

test('a hot key stays, and its neighbours move away', () => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const moves = plan([server('a'), server('b')], ranges, { 10: 30, 500: 6, 900: 6 });
  expect(moves.length).toEqual(1);
  expect((moves[0]?.first ?? 0) > 10).toEqual(true);
});

test('one plan spreads a hot span in one range over many servers', () => {
  const servers = Array.from({ length: 8 }, (_, it) => server(`s${it}`));
  const ranges = divideKeys(8).map((it, index) => range(it.first, it.last, `s${index}`));
  const hot = Object.fromEntries(Array.from({ length: 40 }, (_, it) => [100 + it * 5, 4]));
  const moves = plan(servers, ranges, hot);
  const loads = new Map<string, number>();
  for (const [key, weight] of Object.entries(hot)) {
    const move = moves.find((it) => it.first <= Number(key) && it.last >= Number(key));
    const owner = move?.to ?? 's0';
    loads.set(owner, (loads.get(owner) ?? 0) + weight);
  }
  expect(Math.max(...loads.values()) <= 2 * (160 / 8)).toEqual(true);
});

test('a key that is too hot for its owner moves alone to the fastest server', () => {
  const servers = [server('a', 8), server('b', 8), server('fast', 14)];
  const ranges = [range(0, 999, 'a'), range(1_000, 9_999, 'b'), range(10_000, 65_535, 'fast')];
  const moves = plan(servers, ranges, { 500: 40, 2_000: 5, 3_000: 5, 20_000: 5, 30_000: 5 });
  expect(moves[0]).toEqual({ first: 500, last: 500, to: 'fast' });
  const leaving = moves.filter((it) => it.first >= 10_000);
  expect(leaving.length > 0).toEqual(true);
});

test('a faster server gets more load', () => {
  const ranges = [range(0, 32_767, 'slow'), range(32_768, 65_535, 'fast')];
  const requests = Object.fromEntries(Array.from({ length: 20 }, (_, it) => [it * 10, 1]));
  const moves = plan([server('slow', 5), server('fast', 15)], ranges, requests);
  expect(moves.map((it) => it.to)).toEqual(['fast']);
});

test('a range that is not movable stays, but its load counts', () => {
  const ranges = [range(0, 32_767, 'a', false), range(32_768, 65_535, 'b')];
  expect(plan([server('a'), server('b')], ranges, { 1: 20, 2: 20 })).toEqual([]);
});

test('moves never overlap, lie within one range and go to known servers', () => {
  const keys = fc.array(fc.nat({ max: 65_535 }), { minLength: 1, maxLength: 200 });
  fc.assert(
    fc.property(
      keys,
      fc.integer({ min: 1, max: 6 }),
      fc.integer({ min: 1, max: 24 }),
      (all, n, m) => {
        const load = createLoadMap(0);
        load.record(all);
        const servers = Array.from({ length: n }, (_, it) => server(`s${it}`, 5 + it));
        const ranges = divideKeys(m).map((it, index) =>
          range(it.first, it.last, index % 3 === 0 ? undefined : `s${index % n}`),
        );
        const moves = planMoves({ servers, ranges, load, maxMoves: 8 });
        for (const [index, move] of moves.entries()) {
          expect(ranges.some((it) => it.first <= move.first && it.last >= move.last)).toEqual(true);
          expect(servers.some((it) => it.id === move.to)).toEqual(true);
          const others = moves.slice(index + 1);
          expect(others.every((it) => it.last < move.first || it.first > move.last)).toEqual(true);
        }
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
