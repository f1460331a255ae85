import { test } from 'node:test';

import { expect } from 'earl';

import { createLoadMap } from '../lib/load-map.js';
import { findOverloads, isSignificantChange } from '../lib/overload.js';

const servers = [
  { id: 'a', capacity: 10 },
  { id: 'b', capacity: 10 },
];
const ranges = [
  { first: 0, last: 99, owner: 'a' },
  { first: 100, last: 65_535, owner: 'b' },
];

/** Returns the load after ten seconds of a constant request rate per second for each key. */
function steadyLoad(perSecond: Readonly<Record<number, number>>) {
  const load = createLoadMap(0, 1_000);
  for (let second = 0; second < 10; second += 0.1) {
    load.decay(second * 1_000);
    for (const [key, count] of Object.entries(perSecond)) {
      load.record(Array.from({ length: count / 10 }, () => Number(key)));
    }
  }
  return load;
}

/** Enough routers that each gets an answer of an owner only every few seconds. */
const ROUTERS = 60;

// Guards against a queue that stays full, as routers that see it every few seconds fill it between them.
test('with many routers no more is admitted than the owner can run, from its capacity on', () => {
  for (const demand of [10, 30, 100]) {
    const shares = findOverloads(servers, ranges, steadyLoad({ 7: demand }), ROUTERS);
    expect([...shares.keys()]).toEqual(['a']);
    const admitted = demand * (shares.get('a') ?? 0);
    expect(admitted > 6.3 && admitted < 7.7).toEqual(true);
  }
});

test('all requests are admitted while an owner can run them', () => {
  const load = steadyLoad({ 7: 6, 500: 6 });
  expect(findOverloads(servers, ranges, load, ROUTERS).size).toEqual(0);
});

// Guards against a slow server of a small fleet, whose queue decides, that is limited like an owner of a large one.
test('where routers see the other queues, twice the capacity of a slow server is admitted from four times on', () => {
  const uneven = [
    { id: 'a', capacity: 4 },
    { id: 'b', capacity: 20 },
  ];
  const sharesAt = (demand: number) => findOverloads(uneven, ranges, steadyLoad({ 7: demand }), 9);
  expect(sharesAt(10).size).toEqual(0);
  const admitted = 100 * (sharesAt(100).get('a') ?? 0);
  expect(admitted > 7.2 && admitted < 8.8).toEqual(true);
});

test('a small number of routers gets no shares, as each knows the queue from answers', () => {
  expect(findOverloads(servers, ranges, steadyLoad({ 7: 100 }), 9).size).toEqual(0);
});

test('all requests are admitted again a few seconds after the load of a hot key ends', () => {
  const load = steadyLoad({ 7: 100 });
  load.decay(14_000);
  expect(findOverloads(servers, ranges, load, ROUTERS).size).toEqual(0);
});

test('only new overload, its end and large changes of a share are significant', () => {
  const none = new Map<string, number>();
  expect(isSignificantChange(none, new Map([['a', 0.5]]))).toEqual(true);
  expect(isSignificantChange(new Map([['a', 0.5]]), none)).toEqual(true);
  expect(isSignificantChange(new Map([['a', 0.5]]), new Map([['a', 0.55]]))).toEqual(false);
  expect(isSignificantChange(new Map([['a', 0.5]]), new Map([['a', 0.2]]))).toEqual(true);
});
