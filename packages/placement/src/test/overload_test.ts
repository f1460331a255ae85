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

test('twice the capacity of the owner is admitted of a very hot key, so that its queue chooses among requests', () => {
  const shares = findOverloads(servers, ranges, steadyLoad({ 7: 100, 500: 10 }), ROUTERS);
  expect([...shares.keys()]).toEqual(['a']);
  const admitted = 100 * (shares.get('a') ?? 0);
  expect(admitted > 18 && admitted < 22).toEqual(true);
});

test('all requests are admitted below the overload ratio, where queues decide', () => {
  expect(findOverloads(servers, ranges, steadyLoad({ 7: 30, 500: 10 }), ROUTERS).size).toEqual(0);
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
