import { test } from 'node:test';
import { setTimeout } from 'node:timers/promises';

import { expect } from 'earl';

import { endByAnswer } from '../lib/end-proof.js';
import { handOver } from '../lib/hand-over.js';
import { type HeldRange, newHolder, unownedRange } from '../lib/held-range.js';
import type { LeaderContext } from '../lib/leader-context.js';
import { recordAnswered, recordUnanswered } from '../lib/lease-bound.js';
import { renewLeases } from '../lib/lease-renewals.js';
import { createFakeContext } from './fake-context.js';
import { type FakeDirectory, createFakeDirectory, incarnationOf } from './fake-directory.js';
import { type FakeHolders, createFakeHolders } from './fake-holders.js';

const times = { leaseMs: 300, transitMs: 50 };

interface Fixture {
  readonly ctx: LeaderContext;
  readonly holders: FakeHolders;
  readonly directory: FakeDirectory;
  /** A range to be handed over from `a`, which holds it under fencing token 1, to `b`. */
  readonly range: HeldRange;
}

async function setUp(): Promise<Fixture> {
  const now = () => performance.now();
  const holders = createFakeHolders(now);
  const directory = createFakeDirectory(['a', 'b']);
  const ctx = createFakeContext(holders, {
    directory,
    clocks: { monotonic: now, timeOfDay: Date.now },
    times,
    nextFence: () => 9,
  });
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

test('the former owner releases the range before it is granted to the new owner', async () => {
  const { ctx, holders, range } = await setUp();
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(range.granted).toEqual(true);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a former owner that does not answer keeps the range until its lease has expired', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'silent');
  const handingOver = handOver(ctx, range);
  expect(holders.holdersOf(5)).toEqual(['a']);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('an unanswered grant that is carried out after the release never causes two owners', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'silent');
  const order = { first: 0, last: 9, fence: 1, leaseMs: times.leaseMs, handover: undefined };
  const sentAt = performance.now();
  await holders.grant({ serverId: 'a', address: 'a:1' }, order, 100);
  const former = range.former[0];
  if (former) recordUnanswered(former.bound, sentAt, performance.now(), times);
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

test('a hand-over does not wait for a former owner whose process has ended', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'taken');
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(range.granted).toEqual(true);
});

// Guards against two holders when the paths of all routers to a living server are cut: the refusals
// were taken for its end, and its keys were granted to another at once.
test('a former owner that refuses all routers keeps the range until its lease has expired', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'closed');
  const handingOver = handOver(ctx, range);
  while (!range.granted) {
    expect(holders.holdersOf(5).length <= 1).toEqual(true);
    await setTimeout(5);
  }
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
  expect(ctx.health.hasEnded(incarnationOf('a'))).toEqual(false);
});

// Guards against keys that wait for the end of a lease although the path to their owner has healed.
test('a former owner that refuses all routers for a while releases the range with its state afterwards', async () => {
  const { ctx, holders, range } = await setUp();
  const former = range.former[0];
  if (former) former.bound.answeredUntil = performance.now() + 60_000;
  holders.modes.set('a', 'closed');
  const handingOver = handOver(ctx, range);
  await setTimeout(1);
  expect([range.granted, holders.holdersOf(5)]).toEqual([false, ['a']]);
  holders.modes.set('a', 'answers');
  await handingOver;
  expect(holders.sent.slice(-2)).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a leaving former owner that refuses connections may still hold the range', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'closed');
  directory.set('a', { draining: true });
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('a former owner that has left the registry and refuses connections may still hold the range', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'closed');
  directory.drop('a');
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

test('shortly after a gap in the watch of the registry, a refused connection does not prove that a process ended', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.modes.set('a', 'closed');
  directory.resumeWatch(performance.now());
  const handingOver = handOver(ctx, range);
  await setTimeout(20);
  expect(holders.sent.includes('grant b 0-9 #2')).toEqual(false);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

// Guards against two holders when only the path from the leader to a server is cut: the refused
// connection was taken for the server's end, and its keys were granted to another at once.
test('a former owner that refuses only the leader releases the range over another router', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'cut');
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'relayed release a 0-9 #1', 'grant b 0-9 #2']);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

// Guards against the same where no other router reaches the server either, and some do not say so.
test('a former owner that refuses the leader and is not known to refuse all routers keeps the range until its lease has expired', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('a', 'cut');
  const release = () => Promise.resolve({ kind: 'unreachable' as const });
  const handingOver = handOver({ ...ctx, reach: { ...holders.reach, release } }, range);
  await setTimeout(20);
  expect(holders.holdersOf(5)).toEqual(['a']);
  await handingOver;
  expect(holders.holdersOf(5)).toEqual(['b']);
});

// Guards against two holders after a server started again under its id: the new process accepted a
// renewal for the former one, whose end was then taken for the end of that lease.
test('a server that started again releases what it accepted for its former incarnation', async () => {
  const { ctx, holders, directory, range } = await setUp();
  holders.restart('a');
  const renewal = { first: 0, last: 9, fence: 1, leaseMs: times.leaseMs, handover: undefined };
  await holders.grant({ serverId: 'a', address: 'a:1' }, renewal, 100);
  directory.set('a', { startedMs: 2 });
  holders.sent = [];
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

// Guards against the same where the server started again between its end and the proof of that.
test('a grant that was answered after the proof of an end lets the server hold the range', async () => {
  const { ctx, holders, range } = await setUp();
  const life = { ...incarnationOf('a'), id: 'a' };
  ctx.health.noteEnded(incarnationOf('a'), endByAnswer(life, 'misdirected', performance.now()));
  const former = range.former[0];
  if (former) recordAnswered(former.bound, performance.now() + 1, times);
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['release a 0-9 #1', 'grant b 0-9 #2']);
});

test('a range that stays with a server which started again waits for nothing', async () => {
  const { ctx, holders, directory, range } = await setUp();
  const former = range.former[0];
  if (former) recordUnanswered(former.bound, performance.now(), performance.now(), times);
  holders.restart('a');
  directory.set('a', { startedMs: 2 });
  range.owner = newHolder({ ...incarnationOf('a'), startedMs: 2 }, 2);
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['grant a 0-9 #2']);
});

test('if the process of the new owner has ended, the range stays without a grant until the next plan', async () => {
  const { ctx, holders, range } = await setUp();
  holders.modes.set('b', 'closed');
  await handOver(ctx, range);
  expect(range.granted).toEqual(false);
  expect(range.busy).toEqual(false);
  expect(holders.holdersOf(5)).toEqual([]);
});

// Guards against keys that wait for an owner which the leader does not reach, while others could
// take them.
test('a new owner that leaves two grants unanswered is given up', async () => {
  const { ctx, holders, range } = await setUp();
  range.former = [];
  holders.modes.set('b', 'cut');
  await handOver(ctx, range);
  expect(holders.sent).toEqual(['grant b 0-9 #2', 'grant b 0-9 #2']);
  expect([range.granted, range.busy]).toEqual([false, false]);
});

// Guards against a range that stays without a grant: the tries were spent on waiting while the
// leadership lease was not confirmed.
test('time in which the leader may not order takes no try to grant a range', async () => {
  const { ctx, holders, range } = await setUp();
  range.former = [];
  let checks = 0;
  const mayOrder = () => {
    checks += 1;
    return checks > 5;
  };
  await handOver({ ...ctx, mayOrder }, range);
  expect(holders.sent).toEqual(['grant b 0-9 #2']);
  expect(range.granted).toEqual(true);
});

const throwing = () => Promise.reject(new RangeError('no such port'));

// Guards against a range that stays where it is for ever: an order that threw left it busy.
test('an order that throws leaves no range busy, and the range may be handed over again', async () => {
  const { ctx, holders, range } = await setUp();
  const broken = { ...ctx, orders: { grant: throwing, release: throwing } };
  await handOver(broken, range);
  expect([range.busy, range.granted]).toEqual([false, false]);
  await handOver(ctx, range);
  expect(holders.holdersOf(5)).toEqual(['b']);
});

// Guards against a range that stays busy when the record of its new token can't be written.
test('a write that throws leaves no range busy', async () => {
  const { ctx, range } = await setUp();
  range.former = [];
  const fenced = () => Promise.resolve({ kind: 'fenced' as const });
  const broken = { ...ctx, orders: { grant: fenced, release: fenced }, persist: throwing };
  await handOver(broken, range).catch(() => undefined);
  expect(range.busy).toEqual(false);
});

// Guards against a range whose owner is never asked again: a renewal that threw left it marked.
test('a renewal that throws leaves the range free to be renewed and moved', async () => {
  const { ctx, range } = await setUp();
  const abort = new AbortController();
  let tries = 0;
  const grant = () => {
    tries += 1;
    abort.abort();
    return throwing();
  };
  const renewed = { ...range, granted: true };
  const broken = { ...ctx, orders: { grant, release: throwing }, signal: abort.signal };
  await renewLeases(broken, new Map([['s', { ranges: [renewed] }]]), () => undefined);
  await setTimeout(1);
  expect([tries, renewed.renewing, renewed.busy]).toEqual([1, false, false]);
});
