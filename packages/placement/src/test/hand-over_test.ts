import { test } from 'node:test';
import { setTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import { handOver } from '../lib/hand-over.js';
import { type HeldRange, newHolder, unownedRange } from '../lib/held-range.js';
import type { LeaderContext } from '../lib/leader-context.js';
import { recordAnswered, recordUnanswered } from '../lib/lease-bound.js';
import { createServerHealth } from '../lib/server-health.js';
import { type FakeDirectory, createFakeDirectory, incarnationOf } from './fake-directory.js';
import { type FakeHolders, createFakeHolders } from './fake-holders.js';

const times = { leaseMs: 300, transitMs: 50 };

interface Fixture {
  readonly ctx: LeaderContext;
  readonly holders: FakeHolders;
  readonly directory: FakeDirectory;
  /** A range that goes from `a`, which holds it under token 1, to `b`. */
  readonly range: HeldRange;
}

async function setUp(): Promise<Fixture> {
  const now = () => performance.now();
  const holders = createFakeHolders(now);
  const directory = createFakeDirectory(['a', 'b']);
  const ctx: LeaderContext = {
    orders: holders,
    directory,
    health: createServerHealth(),
    clocks: { monotonic: now, timeOfDay: Date.now },
    log: { info: () => undefined, warn: () => undefined },
    times,
    signal: new AbortController().signal,
    mayOrder: () => true,
    mayRenew: () => true,
    drainNoticeMs: () => 100,
    inheritedUntil: () => -Infinity,
    noteChange: () => undefined,
    persist: () => Promise.resolve(true),
    nextFence: () => 9,
  };
  const former = newHolder(incarnationOf('a'), 1);
  const order = { first: 0, last: 9, fence: 1, leaseMs: times.leaseMs, handover: undefined };
  await holders.grant({ serverId: 'a', address: 'a:1' }, order, 100);
  recordAnswered(former.bound, now(), times);
  const range: HeldRange = {
    ...unownedRange({ first: 0, last: 9 }),
    owner: newHolder(incarnationOf('b'), 2),
    former: [former],
  };
  holders.sent = [];
  return { ctx, holders, directory, range };
}

test('the former owner is released before the new one is granted the range, with its state', async () => {
  const { ctx, holders, range } = await setUp();
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(range.granted).toEqual(true);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a former owner that does not answer keeps the range until its lease has lapsed', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'silent');
  const handingOver = handOver(ctx, range);
  expect(holders.holdersOf(5)).toEqual(['a']);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a grant that got no answer and is carried out after the release never makes two owners', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'silent');
  const order = { first: 0, last: 9, fence: 1, leaseMs: times.leaseMs, handover: undefined };
  const sentAt = performance.now();
  await holders.grant({ serverId: 'a', address: 'a:1' }, order, 100);
  const former = range.former[0];
  if (former) recordUnanswered(former.bound, sentAt, times);
  holders.modes.set('a', 'answers');
  const handingOver = handOver(ctx, range);
  holders.deliverLate();
  while (!range.granted) {
    expect(holders.holdersOf(5).length <= 1).toEqual(true);
    await setTimeout(5);
  }
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a former owner whose process is proved gone is not waited for', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'gone');
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(range.granted).toEqual(true);
});

test('a former owner that leaves and takes no connections any more may still be at work', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'gone');
  directory.set('a', { draining: true });
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a former owner that has left the registry and takes no connections may still be at work', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'gone');
  directory.drop('a');
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('soon after a gap in the registry a refused connection proves nothing', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'gone');
  directory.regain(performance.now());
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a new owner that is gone leaves the range without a grant, for the next plan', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('b', 'gone');
  await handOver(ctx, range);
  expect(range.granted).toEqual(false);
  expect(range.busy).toEqual(false);
  expect(holders.holdersOf(5)).toEqual([]);
});
