import { test } from 'node:test';

import { expect } from 'earl';

import {
  type Deadlines,
  type KeyedLoad,
  meanOfSeconds,
  simulateKeys,
} from './key-placement-simulation.js';

const SEEDS = [1, 2];
/** Seconds after which speeds are known and keys are spread. */
const SETTLED_S = 8;
/** Least share of requests with a short deadline that are served, relative to that of the others. */
const MIN_RELATIVE_SHARE = 0.25;

const deadlines: Deadlines = { usualMs: 8_000, shortMs: 800, shortShare: 0.03, retries: 0 };

/** A fleet whose callers ask for a quarter more than its servers can run at their usual speed. */
const overloaded: KeyedLoad = {
  seconds: 20,
  routers: 66,
  servers: 107,
  perSecond: 2_300,
  workMs: 350,
  speed: (server) => (server % 3 === 2 ? 1.6 : 0.7),
  slowdowns: true,
  hotShare: () => 0,
  deadlines,
};

function expectShortServed(load: KeyedLoad): void {
  for (const seed of SEEDS) {
    const seconds = simulateKeys(load, seed).slice(SETTLED_S);
    const usual = meanOfSeconds(seconds, ({ usualServed }) => usualServed);
    const short = meanOfSeconds(seconds, ({ shortServed }) => shortServed);
    expect(short).toBeGreaterThanOrEqual(usual * MIN_RELATIVE_SHARE);
  }
}

// Guards against queues that stay so long that requests with little time left, such as those on a
// route that was just added, are never served, while requests with much time are.
test('requests with a short deadline are served while a large partitioned service is overloaded', () => {
  expectShortServed(overloaded);
});

// Guards against the same where time in a queue counts as slowness of the server.
test('they are served while refused callers come back', () => {
  expectShortServed({ ...overloaded, deadlines: { ...deadlines, retries: 2 } });
});
