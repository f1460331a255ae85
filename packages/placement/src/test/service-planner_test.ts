import { test } from 'node:test';

import { expect } from 'earl';

import type { HeldRange } from '../lib/held-range.js';
import { createRangeTable } from '../lib/range-table.js';
import { createServicePlanner } from '../lib/service-planner.js';
import { createFakeContext } from './fake-context.js';
import { createFakeDirectory } from './fake-directory.js';
import { createFakeHolders } from './fake-holders.js';

const SERVICE = 's';
const SERVERS = ['a', 'b', 'c'];
const RANGES = 12;
/** Keys of which each is asked for once a second. */
const KEYS = Array.from({ length: 24 }, (_, index) => (index * 65_536) / 24 + 1).map(Math.floor);

/** A planner of three servers with equal load, of which `a` may name a limit. */
function setUp() {
  let now = 0;
  let limitPerS: number | undefined;
  let fence = 0;
  let excludedZones: readonly string[] = [];
  const directory = createFakeDirectory(SERVERS);
  for (const server of SERVERS) directory.set(server, { availabilityZone: `zone of ${server}` });
  const holders = createFakeHolders(() => now);
  const ctx = createFakeContext(holders, {
    directory,
    clocks: { monotonic: () => now, timeOfDay: () => now },
    times: { leaseMs: 7_000, transitMs: 500 },
    limitOf: ({ server }) => (server === 'a' ? limitPerS : undefined),
    mayOwnKeys: (_service, zone) => !excludedZones.includes(zone),
    nextFence: () => (fence += 1),
  });
  const planner = createServicePlanner(ctx);
  const table = createRangeTable(RANGES);
  /** Number of keys that a server owns, which is the requests per second that it gets. */
  const ownedBy = (server: string) =>
    KEYS.filter((key) => {
      const range = table.ranges.find((it) => it.first <= key && it.last >= key);
      return range?.owner?.incarnation.server === server;
    }).length;
  const ownedByA = () => ownedBy('a');

  function finish(moved: readonly HeldRange[]): void {
    for (const range of moved) {
      Object.assign(range, { granted: true, busy: false, former: [], grantedAt: now });
    }
  }

  /** Lets the servers answer one request a second for each key, and plans each second. */
  function play(seconds: number): void {
    for (let second = 0; second < seconds; second += 1) {
      now += 1_000;
      const servers = SERVERS.map((server) => {
        return {
          server,
          latencyMs: 800,
          units: 8,
          answered: 8,
          failed: 0,
          loadReports: 0,
          queuedPerSlot: 0,
        };
      });
      planner.record({ service: SERVICE, keys: KEYS, servers });
      finish(planner.plan(SERVICE, table, true));
    }
  }

  return {
    planner,
    play,
    ownedBy,
    ownedByA,
    /** Excludes the zones of servers. */
    exclude: (...servers: string[]) => {
      excludedZones = servers.map((it) => `zone of ${it}`);
    },
    setLimit: (perS: number | undefined) => {
      limitPerS = perS;
    },
  };
}

// Guards against keys that stay with, or are given to, a server that takes fewer requests than its
// keys bring.
test('a server that names a limit keeps only the keys for which it takes requests', () => {
  const { play, ownedByA, setLimit } = setUp();
  play(10);
  expect(ownedByA()).toEqual(KEYS.length / SERVERS.length);
  setLimit(2);
  play(10);
  expect(ownedByA()).toBeLessThanOrEqual(3);
  setLimit(0);
  play(10);
  expect(ownedByA()).toBeLessThanOrEqual(1);
  setLimit(undefined);
  play(20);
  expect(ownedByA()).toBeGreaterThanOrEqual(6);
});

// Guards against keys that stay with a server to which no router may send requests.
test('an excluded server loses all keys soon, and no other one gets much more than its share', () => {
  const { play, ownedBy, exclude } = setUp();
  play(10);
  exclude('a');
  play(2);
  expect(ownedBy('a')).toEqual(0);
  const share = KEYS.length / (SERVERS.length - 1);
  expect(Math.max(ownedBy('b'), ownedBy('c'))).toBeLessThanOrEqual(share * 1.5);
});

// Guards against a cold server that gets all its keys back in the moment in which it may.
test('a server that may own keys again is given its share slowly', () => {
  const { play, ownedBy, exclude } = setUp();
  play(10);
  exclude('a');
  play(10);
  exclude();
  play(4);
  expect(ownedBy('a')).toBeLessThanOrEqual(4);
  play(40);
  expect(ownedBy('a')).toBeGreaterThanOrEqual(6);
});

test('if all servers are excluded, the keys stay where they are', () => {
  const { play, ownedBy, exclude } = setUp();
  play(10);
  exclude('a', 'b', 'c');
  const before = SERVERS.map(ownedBy);
  play(5);
  expect(SERVERS.map(ownedBy)).toEqual(before);
});

// Guards against a small fleet whose leader limits admission to a server that fails, although each
// router knows the server's queue.
test('whether routers know the queue of a server does not depend on its failures', () => {
  const { planner, play } = setUp();
  play(10);
  const routers = 30;
  expect(planner.withHiddenQueues(SERVICE, routers)).toEqual([]);
  const failing = { server: 'a', latencyMs: 0, units: 0, answered: 0, failed: 100 };
  const servers = [{ ...failing, loadReports: 0, queuedPerSlot: 0 }];
  planner.record({ service: SERVICE, keys: [], servers });
  expect(planner.withHiddenQueues(SERVICE, routers)).toEqual([]);
  expect(planner.withHiddenQueues(SERVICE, 1_000)).toEqual(SERVERS);
});
