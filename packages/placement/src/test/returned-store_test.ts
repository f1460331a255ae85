import { test } from 'node:test';

import { eraOf, inEra } from '@boragepoint/platform';
import { expect } from 'earl';

import { LEADER_LEASE_MS, createLeaderLease, readLeaderLease } from '../lib/leader-lease.js';
import { placementKey } from '../lib/placement-rows.js';
import { type FakeClocks, createFakeClocks } from './fake-clocks.js';
import { type FakeRowStore, createFakeRowStore } from './fake-row-store.js';
import { contentOf } from './row-content.js';

function setUp() {
  const clocks = createFakeClocks();
  return { clocks, store: createFakeRowStore(() => clocks.monotonic()) };
}

async function openLease(store: FakeRowStore, clocks: FakeClocks, router: string) {
  const reading = await readLeaderLease(store, clocks);
  if (!reading) throw new Error('the store gave no answer');
  const candidate = { router, address: `${router}:1`, startedMs: 1 };
  return { reading, leaderLease: createLeaderLease({ store, clocks, candidate, reading }) };
}

// Guards against a leader that the store forgot and that throws away what only it knows.
test('a leader whose lease is confirmed continues it when the store comes back from a copy', async () => {
  const { clocks, store } = setUp();
  const comeBack = store.takeCopy();
  const { leaderLease } = await openLease(store, clocks, 'a');
  await leaderLease.write(contentOf(1));
  comeBack();
  expect(await leaderLease.write(contentOf(2))).toEqual('committed');
  expect(leaderLease.isConfirmed()).toEqual(true);
  const { reading } = await openLease(store, clocks, 'b');
  expect(reading.placement?.version).toEqual(2);
  expect(reading.era).toEqual(1);
});

// Guards against two leaders: another router may have led in the time that the store forgot.
test('a leader whose lease has expired does not continue it when the store comes back', async () => {
  const { clocks, store } = setUp();
  const { leaderLease } = await openLease(store, clocks, 'a');
  await leaderLease.write(contentOf(1));
  const comeBack = store.takeCopy();
  clocks.advance(LEADER_LEASE_MS);
  comeBack();
  expect(await leaderLease.write(contentOf(2))).toEqual('lost');
  expect(leaderLease.isEndedByReturn()).toEqual(true);
});

// Guards against a process that was suspended over the return and counts its lease too long.
test('a leader that may have been suspended does not continue its lease', async () => {
  const { clocks, store } = setUp();
  const { leaderLease } = await openLease(store, clocks, 'a');
  await leaderLease.write(contentOf(1));
  store.takeCopy()();
  clocks.jump(60_000);
  expect(await leaderLease.write(contentOf(2))).toEqual('lost');
});

// Guards against two leaders: the era may be claimed by another router already.
test('a leader does not continue its lease in an era that another router has claimed', async () => {
  const { clocks, store } = setUp();
  const { leaderLease } = await openLease(store, clocks, 'a');
  await leaderLease.write(contentOf(1));
  store.takeCopy()();
  const other = await openLease(store, clocks, 'b');
  expect(await other.leaderLease.write(contentOf(1))).toEqual('committed');
  expect(await leaderLease.write(contentOf(2))).toEqual('lost');
  expect(leaderLease.isEndedByReturn()).toEqual(false);
});

// Guards against a late write that meets another content under the version that it expects.
test('a write of an earlier era that is carried out late changes no row of a later era', async () => {
  const { clocks, store } = setUp();
  const comeBack = store.takeCopy();
  const first = await openLease(store, clocks, 'a');
  store.fault = 'delays-writes';
  await first.leaderLease.write(contentOf(1));
  store.fault = 'none';
  comeBack();
  const second = await openLease(store, clocks, 'b');
  await second.leaderLease.write(contentOf(1));
  store.deliverLate();
  const { reading } = await openLease(store, clocks, 'c');
  expect(reading.placement?.leaderLease.router).toEqual('b');
  expect(await second.leaderLease.write(contentOf(2))).toEqual('committed');
});

// Guards against epochs that are given out twice: routers would not follow the later leader.
test('an epoch of a later era is above all of earlier ones', async () => {
  const { clocks, store } = setUp();
  const comeBack = store.takeCopy();
  for (const router of ['a', 'b', 'c']) {
    const { leaderLease } = await openLease(store, clocks, router);
    await leaderLease.write(contentOf(1));
    clocks.advance(LEADER_LEASE_MS);
  }
  comeBack();
  const { leaderLease } = await openLease(store, clocks, 'd');
  expect(leaderLease.epoch).toEqual(inEra(1, 1));
});

test('the placement of the latest earlier era is read as the copy', async () => {
  const { clocks, store } = setUp();
  for (const era of [0, 1, 2]) {
    const { leaderLease } = await openLease(store, clocks, `router-${era}`);
    await leaderLease.write(contentOf(era + 1));
    store.takeCopy()();
    clocks.advance(LEADER_LEASE_MS);
  }
  const { reading } = await openLease(store, clocks, 'd');
  expect(reading.placement).toEqual(undefined);
  expect(reading.copy?.leaderLease.router).toEqual('router-2');
  expect(eraOf(reading.rowVersion)).toEqual(3);
  expect([...store.rows.keys()].sort()).toEqual([0, 1, 2].map(placementKey));
});
