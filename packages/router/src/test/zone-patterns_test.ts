import { test } from 'node:test';

import { expect } from 'earl';

import {
  type ZoneOutcome,
  type ZonePattern,
  type ZonePolicy,
  simulateZones,
} from './zone-simulation.js';

const SEEDS = [1, 2, 3];

/** Six zones in three regions, at half of the capacity of their servers. */
const steady: ZonePattern = {
  name: 'steady load',
  seconds: 30,
  servers: [3, 2, 2, 2, 2, 2],
  perSecond: () => 36,
  isAlive: () => true,
  startsAt: () => 0,
};

const between = (now: number, from: number, to: number) => now > from * 1_000 && now < to * 1_000;

/** The load of one zone exceeds the capacity of its servers for a while. */
const busyZone: ZonePattern = {
  ...steady,
  name: 'a busy zone',
  perSecond: (zone, now) => (zone === 1 && between(now, 8, 16) ? 130 : 36),
};

/** All servers of a zone are lost. */
const lostZone: ZonePattern = {
  ...steady,
  name: 'the loss of a zone',
  isAlive: (zone, now) => zone !== 2 || now < 10_000,
};

/** One more server starts in each zone after a while. */
const joiners: ZonePattern = {
  ...steady,
  name: 'servers that join',
  servers: [4, 3, 3, 3, 3, 3],
  startsAt: (zone, index) => (index === (zone === 0 ? 3 : 2) ? 12_000 : 0),
};

/**
 * The load exceeds the capacity of all servers for a while; a server with a full queue resets
 * connections.
 */
const fullServers: ZonePattern = {
  ...steady,
  name: 'servers that reset connections when they are full',
  perSecond: (zone, now) => (zone < 2 && between(now, 8, 20) ? 160 : 36),
};

function simulateAll(pattern: ZonePattern, policy: ZonePolicy): ZoneOutcome[] {
  return SEEDS.map((seed) => simulateZones(pattern, policy, seed));
}

type Count = Exclude<keyof ZoneOutcome, 'byZone'>;

/** Share of the requests in a count, over all seeds. */
function share(outcomes: readonly ZoneOutcome[], part: Count): number {
  const sum = (of: Count) => outcomes.reduce((total, it) => total + it[of], 0);
  return sum(part) / sum('sent');
}

test('under steady load few requests leave their zone, and no fewer are in time', () => {
  const [product, anywhere] = [simulateAll(steady, 'product'), simulateAll(steady, 'anywhere')];
  expect(share(product, 'leftZone') < 0.3).toEqual(true);
  expect(share(product, 'leftRegion') < 0.02).toEqual(true);
  expect(share(product, 'inTime') > share(anywhere, 'inTime') - 0.005).toEqual(true);
  expect(share(product, 'inTime') > 0.98).toEqual(true);
});

for (const pattern of [busyZone, lostZone, fullServers]) {
  test(`under ${pattern.name} more are in time than within the zone or anywhere`, () => {
    const product = share(simulateAll(pattern, 'product'), 'inTime');
    expect(product > share(simulateAll(pattern, 'own zone'), 'inTime')).toEqual(true);
    expect(product > share(simulateAll(pattern, 'anywhere'), 'inTime')).toEqual(true);
  });
}

test('requests that left a busy zone stay within it again afterwards', () => {
  expect(share(simulateAll(busyZone, 'product'), 'leftZone') > 0.05).toEqual(true);
  expect(share(simulateAll(busyZone, 'product'), 'leftZoneLate') < 0.01).toEqual(true);
});

test('no zone is idle while another one is full', () => {
  for (const { byZone, sent } of simulateAll(fullServers, 'product')) {
    expect(Math.min(...byZone) > sent * 0.1).toEqual(true);
  }
});

test('fewer requests reach full servers that reset connections than with servers of the own zone only', () => {
  const product = share(simulateAll(fullServers, 'product'), 'failed');
  expect(product < share(simulateAll(fullServers, 'own zone'), 'failed') / 2).toEqual(true);
});

// Guards against joining servers that get no requests while others have capacity.
test('joining servers get their share of the requests', () => {
  for (const { joined, sent } of simulateAll(joiners, 'product')) {
    // Six of 19 servers join for the last 18 of 30 seconds, and are warm in five sixths of that
    // time.
    expect(joined > sent * 0.5 * (6 / 19) * (18 / 30)).toEqual(true);
  }
});

test('equal seeds give equal outcomes', () => {
  expect(simulateZones(busyZone, 'product', 7)).toEqual(simulateZones(busyZone, 'product', 7));
});
