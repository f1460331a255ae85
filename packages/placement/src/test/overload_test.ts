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

/** Load of requests a second for keys, kept up for ten seconds. */
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

/** So many that each hears of an owner every few seconds. */
const ROUTERS = 60;

test('of a very hot key twice as much is admitted as its owner can run, for the queue to choose from', () => {
  const shares = findOverloads(servers, ranges, steadyLoad({ 7: 100, 500: 10 }), ROUTERS);
  expect([...shares.keys()]).toEqual(['a']);
  const admitted = 100 * (shares.get('a') ?? 0);
  expect(admitted > 18 && admitted < 22).toEqual(true);
});

test('owners whose queues can decide admit everything', () => {
  expect(findOverloads(servers, ranges, steadyLoad({ 7: 30, 500: 10 }), ROUTERS).size).toEqual(0);
});

test('routers that are few see the queue in answers and are told nothing', () => {
  expect(findOverloads(servers, ranges, steadyLoad({ 7: 100 }), 9).size).toEqual(0);
});

test('an owner admits everything again a few seconds after its key has cooled down', () => {
  const load = steadyLoad({ 7: 100 });
  load.decay(14_000);
  expect(findOverloads(servers, ranges, load, ROUTERS).size).toEqual(0);
});

test('routers are told of new overload, of its end and of large changes only', () => {
  const none = new Map<string, number>();
  expect(isSignificantChange(none, new Map([['a', 0.5]]))).toEqual(true);
  expect(isSignificantChange(new Map([['a', 0.5]]), none)).toEqual(true);
  expect(isSignificantChange(new Map([['a', 0.5]]), new Map([['a', 0.55]]))).toEqual(false);
  expect(isSignificantChange(new Map([['a', 0.5]]), new Map([['a', 0.2]]))).toEqual(true);
});
