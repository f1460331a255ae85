import { test } from 'node:test';

import { expect } from 'earl';

import {
  type Candidate,
  LEADER_LEASE_MS,
  createLeaderLease,
  mayAcquire,
  readLeaderLease,
} from '../lib/leader-lease.js';
import { type FakeClocks, createFakeClocks } from './fake-clocks.js';
import { type FakeRowStore, createFakeRowStore } from './fake-row-store.js';

const content = (version: number) => ({
  version,
  change: 0,
  nextFence: 1,
  services: new Map<string, never>(),
  suspects: [],
  peers: [],
});

function candidate(router: string, startedMs = 1): Candidate {
  return { router, address: `${router}:1`, startedMs };
}

async function openLease(store: FakeRowStore, clocks: FakeClocks, self: Candidate) {
  const reading = await readLeaderLease(store, clocks);
  if (!reading) throw new Error('the store gave no answer');
  return { reading, leaderLease: createLeaderLease({ store, clocks, candidate: self, reading }) };
}

function setUp() {
  const clocks = createFakeClocks();
  const store = createFakeRowStore(() => clocks.monotonic());
  return { clocks, store };
}

test('of two candidates that read the same row, one gets the seat', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  const b = await openLease(store, clocks, candidate('b'));
  expect(await a.leaderLease.write(content(1))).toEqual('committed');
  expect(await b.leaderLease.write(content(1))).toEqual('lost');
  expect(a.leaderLease.isConfirmed()).toEqual(true);
  expect(b.leaderLease.isConfirmed()).toEqual(false);
});

test('a seat is free once its tenure is over on the clock of the store, not before', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(content(1));
  clocks.advance(LEADER_LEASE_MS - 1);
  const early = await openLease(store, clocks, candidate('b'));
  expect(mayAcquire(early.reading, candidate('b'))).toEqual(false);
  clocks.advance(1);
  const late = await openLease(store, clocks, candidate('b'));
  expect(mayAcquire(late.reading, candidate('b'))).toEqual(true);
  expect(a.leaderLease.isConfirmed()).toEqual(false);
});

test('a router that started again takes the seat of its former life at once', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a', 1));
  await a.leaderLease.write(content(1));
  const { reading } = await openLease(store, clocks, candidate('a', 2));
  expect(mayAcquire(reading, candidate('a', 2))).toEqual(true);
  expect(mayAcquire(reading, candidate('a', 1))).toEqual(false);
});

test('a write whose answer was lost is settled by the next one', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  store.fault = 'loses-answers';
  expect(await a.leaderLease.write(content(1))).toEqual('unknown');
  store.fault = 'none';
  expect(await a.leaderLease.write(content(2))).toEqual('unknown');
  expect(await a.leaderLease.write(content(3))).toEqual('committed');
});

test('a write that lands late does not undo a newer one', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  store.fault = 'delays-writes';
  expect(await a.leaderLease.write(content(1))).toEqual('unknown');
  store.fault = 'none';
  expect(await a.leaderLease.write(content(2))).toEqual('committed');
  store.deliverLate();
  expect((await readLeaderLease(store, clocks))?.placement?.version).toEqual(2);
});

test('a late write of a former leader does not take the seat back', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(content(1));
  store.fault = 'delays-writes';
  await a.leaderLease.write(content(2));
  store.fault = 'none';
  clocks.advance(LEADER_LEASE_MS);
  const b = await openLease(store, clocks, candidate('b'));
  expect(await b.leaderLease.write(content(3))).toEqual('committed');
  store.deliverLate();
  expect((await readLeaderLease(store, clocks))?.placement?.leaderLease.router).toEqual('b');
  expect(await a.leaderLease.write(content(4))).toEqual('lost');
});

test('a leader that hands over frees its seat at once', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(content(1));
  await a.leaderLease.write(content(2), { unansweredForMs: 700 });
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(mayAcquire(reading, candidate('b'))).toEqual(true);
  expect(reading.placement?.leaderLease.unansweredForMs).toEqual(700);
});

test('what a leader writes of the store clock is never earlier than the store shows it', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(content(1));
  clocks.advance(500);
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(a.leaderLease.storeTime(clocks.monotonic()) >= reading.storeNowMs).toEqual(true);
});

test('a seat that is handed to a router is free for that one at once, for others after the tenure', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(content(1));
  await a.leaderLease.write(content(2), { unansweredForMs: 0, successor: 'b' });
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(mayAcquire(reading, candidate('b'))).toEqual(true);
  expect(mayAcquire(reading, candidate('c'))).toEqual(false);
  clocks.advance(LEADER_LEASE_MS);
  const later = await openLease(store, clocks, candidate('c'));
  expect(mayAcquire(later.reading, candidate('c'))).toEqual(true);
});
