import { test } from 'node:test';

import { expect } from 'earl';

import { type Burst, simulateBurst } from './burst-simulation.js';

const SEEDS = [1, 2];
const UNTIL_S = 10;
/** Time after the burst from which requests have to be served as before, in seconds. */
const RECOVERY_S = 8;
/** Largest share of refused tries among requests that the servers can run. */
const MAX_REFUSED_SHARE = 0.01;

/** Servers that are used to two thirds, but for four seconds. */
const burst: Burst = {
  seconds: 24,
  routers: 66,
  servers: 75,
  perSecond: 650,
  workMs: 461,
  speed: (server) => (server % 3 === 2 ? 1.6 : 0.7),
  fromMs: 6_000,
  untilMs: UNTIL_S * 1_000,
  factor: 1.7,
};

// Guards against routers that go on refusing requests at servers that are idle again, because what
// they measured while queues were long counts as the time that a request takes.
test('no requests are refused any more some seconds after a burst', () => {
  for (const seed of SEEDS) {
    const later = simulateBurst(burst, seed).slice(UNTIL_S + RECOVERY_S);
    const sent = later.reduce((sum, it) => sum + it.sent, 0);
    const refused = later.reduce((sum, it) => sum + it.refused, 0);
    expect(refused).toBeLessThanOrEqual(sent * MAX_REFUSED_SHARE);
  }
});
