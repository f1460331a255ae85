import { test } from 'node:test';
import { setTimeout } from 'node:timers/promises';

import type { ServerOrders } from '@boragepoint/platform';
import { expect } from 'earl';

import { LEASE_MS } from '../lib/leader-context.js';
import type { LeaderLease } from '../lib/leader-lease.js';
import {
  type PlacementLeader,
  type PlacementLeaderOptions,
  createPlacementLeader,
} from '../lib/placement-leader.js';
import type { HolderRecord, Placement, RangeRecord } from '../lib/placement-record.js';
import { renewFences } from '../lib/renew-fences.js';
import { processClocks } from '../lib/suspension-guard.js';
import { createFakeDirectory, incarnationOf } from './fake-directory.js';
import { type FakeHolders, createFakeHolders } from './fake-holders.js';

/**
 * Time for which a grant of the former leader may be in effect, in milliseconds; longer than any
 * test waits.
 */
const INHERITED_MS = 60_000;
const FORMER_LEASE = {
  router: 'old',
  address: 'old:1',
  startedMs: 1,
  epoch: 1,
  untilMs: 0,
  handedOver: false,
  unansweredForMs: 0,
  successor: '',
};

const heldLease: LeaderLease = {
  epoch: 2,
  write: () => Promise.resolve('committed'),
  isConfirmed: () => true,
  sinceConfirmedMs: () => 0,
  storeTime: (at) => at,
  isEndedByReturn: () => false,
  era: () => 0,
  lapsedForMs: () => 0,
  invalidate: () => undefined,
};

const holder = (server: string, fence: number, settled = false): HolderRecord => ({
  incarnation: incarnationOf(server),
  fence,
  settled,
});

/** A leader that succeeds one whose instance has failed. */
interface SuccessorFixture extends AsyncDisposable {
  readonly leader: PlacementLeader;
  readonly holders: FakeHolders;
  /** Resolves once the leader has stopped. */
  readonly running: Promise<void>;
}

/**
 * Starts a leader that inherits ranges; `held` are the grants of the former leader that servers
 * hold.
 */
function startSuccessor(
  ranges: readonly RangeRecord[],
  held: readonly RangeRecord[],
  more: (holders: FakeHolders) => Partial<PlacementLeaderOptions> = () => ({}),
): SuccessorFixture {
  const holders = createFakeHolders(processClocks.monotonic);
  for (const { first, last, owner } of held) {
    if (!owner) continue;
    const target = { serverId: owner.incarnation.server, address: owner.incarnation.address };
    const order = { first, last, fence: owner.fence, leaseMs: LEASE_MS, handover: undefined };
    void holders.grant(target, order, 100);
  }
  holders.sent = [];
  const former = { nextFence: 10, services: new Map([['s', ranges]]) };
  const previous: Placement = {
    leaderLease: FORMER_LEASE,
    version: 1,
    change: 1,
    suspects: [],
    peers: [],
    ...renewFences(former),
  };
  const leader = createPlacementLeader({
    leaderLease: heldLease,
    previous,
    inheritedForMs: INHERITED_MS,
    toMonotonic: (storeMs) => storeMs,
    orders: holders,
    reachers: () => [],
    strongestCapacity: () => 1,
    askToReach: () => Promise.resolve({ kind: 'unanswered' }),
    directory: createFakeDirectory(['a', 'b']),
    clocks: processClocks,
    log: { info: () => undefined, warn: () => undefined },
    partitionedServices: () => ['s'],
    objectiveMsOf: () => undefined,
    formerShare: () => 1,
    mayOwnKeys: () => true,
    routers: () => 1,
    suspects: () => [],
    knownPeers: () => [],
    witnessCandidates: () => [],
    tellWitness: () => Promise.resolve('silent'),
    rates: { limitOf: () => undefined },
    ...more(holders),
  });
  const end = new AbortController();
  const running = leader.run(end.signal);
  return {
    leader,
    holders,
    running,
    async [Symbol.asyncDispose]() {
      end.abort();
      await running;
    },
  };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await setTimeout(5);
}

const rangeRecord = (
  first: number,
  last: number,
  owner: HolderRecord,
  former: HolderRecord[] = [],
) => ({
  first,
  last,
  owner,
  former,
});

test('a successor finishes a hand-over immediately if no grant to the former owner is unanswered', async () => {
  const moving = rangeRecord(0, 99, holder('b', 5), [holder('a', 4, true)]);
  const rest = rangeRecord(100, 65_535, holder('b', 3));
  const before = rangeRecord(0, 99, holder('a', 4));
  await using fixture = startSuccessor([moving, rest], [before, rest]);
  const { holders } = fixture;
  await until(() => holders.holdersOf(50).includes('b'));
  expect(holders.holdersOf(50)).toEqual(['b']);
});

test('a successor waits while a grant of the former leader may still reach the former owner', async () => {
  const moving = rangeRecord(0, 99, holder('b', 5), [holder('a', 4, false)]);
  const rest = rangeRecord(100, 65_535, holder('b', 3));
  const before = rangeRecord(0, 99, holder('a', 4));
  await using fixture = startSuccessor([moving, rest], [before, rest]);
  const { holders } = fixture;
  await until(() => holders.sent.some((it) => it.startsWith('release a 0-99')));
  await until(() => holders.sent.some((it) => it.startsWith('grant b 100-65535')));
  expect(holders.sent.some((it) => it.startsWith('grant b 0-99'))).toEqual(false);
});

test('an owner that has seen a fencing token of the successor refuses late grants of the former leader', async () => {
  const all = rangeRecord(0, 65_535, holder('a', 4));
  await using fixture = startSuccessor([all], [all]);
  const { holders } = fixture;
  const target = { serverId: 'a', address: 'a:1' };
  const renewal = { first: 0, last: 65_535, fence: 4, leaseMs: LEASE_MS, handover: undefined };
  holders.modes.set('a', 'silent');
  await holders.grant(target, renewal, 100);
  holders.modes.set('a', 'answers');
  await until(() => holders.sent.includes('grant a 0-65535 #10'));
  await holders.release(target, { first: 0, last: 65_535, fence: 10 }, 100);
  holders.deliverLate();
  expect(holders.holdersOf(7)).toEqual([]);
});

test('ranges are balanced as soon as their owners have answered the successor', async () => {
  const all = rangeRecord(0, 65_535, holder('a', 4));
  await using fixture = startSuccessor([all], [all]);
  const { leader, holders } = fixture;
  const load = { service: 's', keys: Array.from({ length: 90 }, (_, it) => it * 500), servers: [] };
  await until(() => {
    leader.report(load);
    return holders.sent.some((it) => it.startsWith('grant b'));
  });
});

// Guards against a range that stays without an owner for one more lease length each time a leader
// fails during its hand-over.
test('a successor waits for a former owner only until the time in the row up to which it may hold the range', async () => {
  const heldUntilMs = processClocks.monotonic() + 300;
  const moving = rangeRecord(0, 99, holder('b', 5), [{ ...holder('a', 4, false), heldUntilMs }]);
  const rest = rangeRecord(100, 65_535, holder('b', 3));
  await using fixture = startSuccessor([moving, rest], [rest]);
  const { holders } = fixture;
  holders.modes.set('a', 'silent');
  await until(() => holders.sent.some((it) => it.startsWith('grant b 0-99')));
  expect(processClocks.monotonic() >= heldUntilMs).toEqual(true);
});

test('an answered release does not shorten the wait for an unanswered grant of the former leader', async () => {
  const heldUntilMs = processClocks.monotonic() + 300;
  const moving = rangeRecord(0, 99, holder('b', 5), [{ ...holder('a', 4, false), heldUntilMs }]);
  const rest = rangeRecord(100, 65_535, holder('b', 3));
  await using fixture = startSuccessor([moving, rest], [rest]);
  const { holders } = fixture;
  await until(() => holders.sent.some((it) => it.startsWith('grant b 0-99')));
  expect(processClocks.monotonic() >= heldUntilMs).toEqual(true);
});

// Guards against keys that wait for the longest grace time of a former leader that refused the first
// question, although another process has begun at its address since.
test(
  'a former leader is asked again, and its answer shortens the wait for its grants',
  { timeout: 10_000 },
  async () => {
    const moving = rangeRecord(0, 99, holder('b', 5), [holder('a', 4, false)]);
    const rest = rangeRecord(100, 65_535, holder('b', 3));
    const before = rangeRecord(0, 99, holder('a', 4));
    let asked = 0;
    const askFormerLeader = () => {
      asked += 1;
      return Promise.resolve(asked > 1 ? 50 : undefined);
    };
    const more = () => ({ inheritedForMs: 60_000, askFormerLeader });
    await using fixture = startSuccessor([moving, rest], [before, rest], more);
    const { holders } = fixture;
    await until(() => holders.sent.some((it) => it.startsWith('grant b 0-99')));
    expect(asked).toEqual(2);
    expect(holders.holdersOf(50)).toEqual(['b']);
  },
);

// Guards against a range that nobody is granted while this router leads: its owner refused the grants
// of the hand-over, and answers again.
test('a range without a grant is granted to its owner later', { timeout: 10_000 }, async () => {
  const unowned = { first: 0, last: 65_535, owner: undefined, former: [] };
  let refused = 0;
  const orders = (holders: FakeHolders): ServerOrders => ({
    grant(...args) {
      refused += 1;
      return refused > 4 ? holders.grant(...args) : Promise.resolve({ kind: 'refused' });
    },
    release: (...args) => holders.release(...args),
  });
  const more = (holders: FakeHolders) => ({ orders: orders(holders) });
  await using fixture = startSuccessor([unowned], [], more);
  await until(() => fixture.holders.holdersOf(50).length > 0);
  expect(refused > 4).toEqual(true);
});

// Guards against a range that stays for ever at a server that has left: an order that threw left
// it marked as busy.
test('a range whose orders threw moves on once its owner has left the registry', async () => {
  const directory = createFakeDirectory(['b']);
  const unowned = { first: 0, last: 65_535, owner: undefined, former: [] };
  let thrown = 0;
  const orders = (holders: FakeHolders): ServerOrders => ({
    grant(target, ...rest) {
      if (target.serverId !== 'b') return holders.grant(target, ...rest);
      thrown += 1;
      return Promise.reject(new RangeError('no such port'));
    },
    release: (target, ...rest) =>
      target.serverId === 'b'
        ? Promise.reject(new RangeError('no such port'))
        : holders.release(target, ...rest),
  });
  const more = (holders: FakeHolders) => ({ directory, orders: orders(holders) });
  await using fixture = startSuccessor([unowned], [], more);
  await until(() => thrown > 0);
  directory.set('a', {});
  directory.drop('b');
  await until(() => fixture.holders.holdersOf(50).includes('a'));
  expect(fixture.holders.holdersOf(50)).toEqual(['a']);
});

// Guards against a router that leads for ever without an order: a write that threw left its tasks
// waiting.
test('a leader whose write throws stops leading', { timeout: 10_000 }, async () => {
  const unowned = { first: 0, last: 65_535, owner: undefined, former: [] };
  let writes = 0;
  const write = () => {
    writes += 1;
    return Promise.reject(new RangeError('no such number'));
  };
  await using fixture = startSuccessor([unowned], [], () => ({
    leaderLease: { ...heldLease, write },
  }));
  await fixture.running;
  expect(writes).toEqual(1);
  expect(fixture.holders.sent).toEqual([]);
});

// Guards against keys that are served by nobody for seconds when a leader and a server both start
// again: a hand-over would wait for grants that can reach only that server.
test('a range stays with a server that started again while a grant of the former leader may reach it', async () => {
  const all = rangeRecord(0, 65_535, holder('b', 4));
  const directory = createFakeDirectory(['a', 'b']);
  directory.set('b', { startedMs: 2 });
  await using fixture = startSuccessor([all], [], () => ({ directory }));
  await until(() => fixture.holders.holdersOf(50).length > 0);
  expect(fixture.holders.holdersOf(50)).toEqual(['b']);
});
