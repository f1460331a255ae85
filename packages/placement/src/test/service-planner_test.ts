import { test } from 'node:test';

import { expect } from 'earl';

import type { HeldRange } from '../lib/held-range.js';
import type { LeaderContext } from '../lib/leader-context.js';
import { createRangeTable } from '../lib/range-table.js';
import { createServerHealth } from '../lib/server-health.js';
import { createServicePlanner } from '../lib/service-planner.js';
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
  const holders = createFakeHolders(() => now);
  const ctx: LeaderContext = {
    orders: holders,
    reach: holders.reach,
    directory: createFakeDirectory(SERVERS),
    health: createServerHealth(),
    clocks: { monotonic: () => now, timeOfDay: () => now },
    log: { info: () => undefined, warn: () => undefined },
    times: { leaseMs: 7_000, transitMs: 500 },
    signal: new AbortController().signal,
    mayOrder: () => true,
    mayRenew: () => true,
    inheritedUntil: () => -Infinity,
    noteChange: () => undefined,
    persist: () => Promise.resolve(true),
    limitOf: ({ server }) => (server === 'a' ? limitPerS : undefined),
    nextFence: () => (fence += 1),
  };
  const planner = createServicePlanner(ctx);
  const table = createRangeTable(RANGES);
  /** Number of keys that `a` owns, which is the requests per second that it gets. */
  const ownedByA = () =>
    KEYS.filter((key) => {
      const range = table.ranges.find((it) => it.first <= key && it.last >= key);
      return range?.owner?.incarnation.server === 'a';
    }).length;

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
        return { server, latencyMs: 800, units: 8, answered: 8, failed: 0 };
      });
      planner.record({ service: SERVICE, keys: KEYS, servers });
      finish(planner.plan(SERVICE, table, true));
    }
  }

  return {
    play,
    ownedByA,
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
