import { test } from 'node:test';

import { expect } from 'earl';

import {
  type Candidate,
  LEADER_LEASE_MS,
  createLeaderLease,
  isLeaseFree,
  readLeaderLease,
} from '../lib/leader-lease.js';
import { type FakeClocks, createFakeClocks } from './fake-clocks.js';
import { type FakeRowStore, createFakeRowStore } from './fake-row-store.js';
import { contentOf } from './row-content.js';

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

test('of two candidates that read the same row, one acquires the lease', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  const b = await openLease(store, clocks, candidate('b'));
  expect(await a.leaderLease.write(contentOf(1))).toEqual('committed');
  expect(await b.leaderLease.write(contentOf(1))).toEqual('lost');
  expect(a.leaderLease.isConfirmed()).toEqual(true);
  expect(b.leaderLease.isConfirmed()).toEqual(false);
});

test('a lease is free once it has expired on the clock of the store, and not before', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(contentOf(1));
  clocks.advance(LEADER_LEASE_MS - 1);
  const early = await openLease(store, clocks, candidate('b'));
  expect(isLeaseFree(early.reading, candidate('b'))).toEqual(false);
  clocks.advance(1);
  const late = await openLease(store, clocks, candidate('b'));
  expect(isLeaseFree(late.reading, candidate('b'))).toEqual(true);
  expect(a.leaderLease.isConfirmed()).toEqual(false);
});

test('a restarted router may immediately acquire the lease of its former incarnation', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a', 1));
  await a.leaderLease.write(contentOf(1));
  const { reading } = await openLease(store, clocks, candidate('a', 2));
  expect(isLeaseFree(reading, candidate('a', 2))).toEqual(true);
  expect(isLeaseFree(reading, candidate('a', 1))).toEqual(false);
});

test('the outcome of a write whose answer was lost is resolved by the next writes', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  store.fault = 'loses-answers';
  expect(await a.leaderLease.write(contentOf(1))).toEqual('unknown');
  store.fault = 'none';
  expect(await a.leaderLease.write(contentOf(2))).toEqual('unknown');
  expect(await a.leaderLease.write(contentOf(3))).toEqual('committed');
});

test('a write that is carried out late does not overwrite a newer one', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  store.fault = 'delays-writes';
  expect(await a.leaderLease.write(contentOf(1))).toEqual('unknown');
  store.fault = 'none';
  expect(await a.leaderLease.write(contentOf(2))).toEqual('committed');
  store.deliverLate();
  expect((await readLeaderLease(store, clocks))?.placement?.version).toEqual(2);
});

test('a late write of a former leader does not reclaim the lease', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(contentOf(1));
  store.fault = 'delays-writes';
  await a.leaderLease.write(contentOf(2));
  store.fault = 'none';
  clocks.advance(LEADER_LEASE_MS);
  const b = await openLease(store, clocks, candidate('b'));
  expect(await b.leaderLease.write(contentOf(3))).toEqual('committed');
  store.deliverLate();
  expect((await readLeaderLease(store, clocks))?.placement?.leaderLease.router).toEqual('b');
  expect(await a.leaderLease.write(contentOf(4))).toEqual('lost');
});

test('a leader that hands over releases its lease immediately', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(contentOf(1));
  await a.leaderLease.write(contentOf(2), { unansweredForMs: 700 });
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(isLeaseFree(reading, candidate('b'))).toEqual(true);
  expect(reading.placement?.leaderLease.unansweredForMs).toEqual(700);
});

test('the estimate of the store clock by a leader is never behind that clock', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(contentOf(1));
  clocks.advance(500);
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(a.leaderLease.storeTime(clocks.monotonic()) >= reading.storeNowMs).toEqual(true);
});

test('a lease that is handed over to a successor is free for it immediately, for others after its expiry', async () => {
  const { clocks, store } = setUp();
  const a = await openLease(store, clocks, candidate('a'));
  await a.leaderLease.write(contentOf(1));
  await a.leaderLease.write(contentOf(2), { unansweredForMs: 0, successor: 'b' });
  const { reading } = await openLease(store, clocks, candidate('b'));
  expect(isLeaseFree(reading, candidate('b'))).toEqual(true);
  expect(isLeaseFree(reading, candidate('c'))).toEqual(false);
  clocks.advance(LEADER_LEASE_MS);
  const later = await openLease(store, clocks, candidate('c'));
  expect(isLeaseFree(later.reading, candidate('c'))).toEqual(true);
});

/** Lets a write reach the store, and holds its answer back until the returned function is called. */
function holdNextAnswer(store: FakeRowStore): () => void {
  const put = store.put.bind(store);
  let release: () => void = () => undefined;
  const held = new Promise<void>((resolve) => (release = resolve));
  store.put = async (...args) => {
    store.put = put;
    const outcome = await put(...args);
    await held;
    return outcome;
  };
  return release;
}

// Guards against a leader that gives orders after a suspension although another router leads: the
// monotonic clock does not count the suspension, so that a write from before it seemed recent.
for (const isNoticed of [true, false]) {
  const title = isNoticed ? 'that was noticed' : 'that nobody has noticed yet';
  test(`a write from before a suspension ${title} does not make the lease valid again`, async () => {
    const { clocks, store } = setUp();
    const { leaderLease } = await openLease(store, clocks, candidate('a'));
    await leaderLease.write(contentOf(1));
    clocks.advance(1_000);
    const deliverAnswer = holdNextAnswer(store);
    const written = leaderLease.write(contentOf(2));
    clocks.jump(10_000);
    if (isNoticed) leaderLease.invalidate();
    deliverAnswer();
    expect(await written).toEqual('committed');
    expect(leaderLease.isConfirmed()).toEqual(false);
    clocks.advance(1);
    await leaderLease.write(contentOf(3));
    expect(leaderLease.isConfirmed()).toEqual(true);
  });
}
