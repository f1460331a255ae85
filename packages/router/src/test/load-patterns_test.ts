import { test } from 'node:test';

import { expect } from 'earl';

import {
  type LoadOutcome,
  type LoadPattern,
  type RangePolicy,
  simulate,
} from './load-simulation.js';

const SEEDS = [1, 2, 3];
const KEYS = 65_536;

/** Servers of different speeds; most requests are for neighbouring keys. */
const steady: LoadPattern = {
  name: 'steady load',
  seconds: 40,
  routers: 9,
  servers: 12,
  workMs: (server) => 110 + 20 * (server % 6),
  isAlive: () => true,
  perSecond: () => 70,
  key: (draw) =>
    draw < 0.6 ? 20_000 + Math.floor((draw / 0.6) ** 2 * 4_000) : Math.floor(draw * KEYS),
};

const between = (now: number, from: number, to: number) => now > from * 1_000 && now < to * 1_000;

const hotKey: LoadPattern = {
  ...steady,
  name: 'a hot key',
  key: (draw, now) =>
    between(now, 10, 20) && draw < 0.3 ? 41_111 : steady.key((draw * 7) % 1, now),
};

/** Two periods in which 40 % of the requests are for 200 neighbouring keys. */
const hotNeighbours: LoadPattern = {
  ...steady,
  name: 'hot neighbouring keys',
  key(draw, now) {
    const first = between(now, 8, 13) ? 41_000 : between(now, 16, 20) ? 7_000 : undefined;
    return first !== undefined && draw < 0.4
      ? first + Math.floor(draw * 500)
      : steady.key((draw * 7) % 1, now);
  },
};

const burst: LoadPattern = {
  ...steady,
  name: 'a burst',
  perSecond: (now) => (between(now, 15, 25) ? 160 : 70),
};

const slowServers: LoadPattern = {
  ...steady,
  name: 'slow servers',
  workMs: (server, now) =>
    steady.workMs(server, now) * (server < 3 && between(now, 10, 30) ? 4 : 1),
};

const lossOfHalf: LoadPattern = {
  ...steady,
  name: 'the loss of half of the servers',
  isAlive: (server, now) => server % 2 === 0 || now < 15_000,
};

const sum = (outcomes: readonly LoadOutcome[], part: keyof LoadOutcome) =>
  outcomes.reduce((total, it) => total + it[part], 0);

/** Share of the requests that were answered within the objective, over all seeds. */
function inTime(pattern: LoadPattern, policy: RangePolicy): number {
  const outcomes = SEEDS.map((seed) => simulate(pattern, policy, seed));
  return sum(outcomes, 'inTime') / sum(outcomes, 'sent');
}

/**
 * Least share of requests in time for each pattern; equal seeds give equal shares on every machine.
 */
const MIN_SHARES_IN_TIME: readonly [LoadPattern, number][] = [
  [steady, 0.97],
  [hotKey, 0.94],
  [hotNeighbours, 0.93],
  [burst, 0.87],
  [slowServers, 0.91],
  [lossOfHalf, 0.91],
];

for (const [pattern, minShare] of MIN_SHARES_IN_TIME) {
  test(`under ${pattern.name} more requests are in time than with fixed ranges`, () => {
    const [product, fixed] = [inTime(pattern, 'product'), inTime(pattern, 'fixed')];
    expect(product > Math.max(minShare, fixed)).toEqual(true);
  });
}

test('steady load moves few ranges after it was spread', () => {
  const moves = SEEDS.map((seed) => simulate(steady, 'product', seed).lateMoves);
  expect(Math.max(...moves) <= 20).toEqual(true);
});

test('equal seeds give equal outcomes', () => {
  expect(simulate(hotKey, 'product', 5)).toEqual(simulate(hotKey, 'product', 5));
});
