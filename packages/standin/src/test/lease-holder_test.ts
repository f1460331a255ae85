import { test } from 'node:test';

import type { LeaseRequest } from '@boragepoint/platform';
import { expect } from 'earl';

import type { BackendEvent } from '../lib/backend/event-log.js';
import { LeaseHolder } from '../lib/backend/lease-holder.js';
import { waitUntil } from '../lib/harness/wait-until.js';

const LONG_MS = 60_000;
const SHORT_MS = 30;
const SHARD = { service: 's', shard: 1, epoch: 2 };

function createHolder() {
  const events: BackendEvent[] = [];
  let now = 0;
  let reads = 0;
  function clock(): number {
    reads += 1;
    return now;
  }
  const advance = (ms: number) => (now += ms);
  const holder = new LeaseHolder('a', (event) => events.push(event), clock);
  function renew(change: Partial<LeaseRequest>) {
    const base = { keeper: 'k', keeperEpoch: 1, leaseMs: LONG_MS, grants: [], release: [] };
    return holder.renew({ ...base, ...change });
  }
  const refusal = (waited = false) => holder.refusalOf(SHARD, waited, now)?.reason;
  const kinds = () => events.map((it) => it.kind);
  const hasLapsed = () => (kinds().includes('lapsed') ? true : undefined);
  return { holder, renew, refusal, kinds, hasLapsed, advance, reads: () => reads };
}

test('a renewal without an echo, or with the echo of another incarnation, grants nothing', () => {
  const { renew, refusal } = createHolder();
  const { sequence } = renew({ grants: [SHARD] });
  const answer = renew({ echo: { start: 'another', sequence }, grants: [SHARD] });
  expect(answer.held).toEqual([]);
  expect(answer.leaseLeftMs).toEqual(0);
  expect(refusal()).toEqual('not-owner');
});

test('an echo of an answer that is no longer remembered grants nothing', () => {
  const { renew } = createHolder();
  const first = renew({});
  for (let i = 0; i < 64; i += 1) renew({});
  const answer = renew({ echo: first, grants: [SHARD] });
  expect(answer.held).toEqual([]);
});

test('a released epoch is not granted again, a higher one is', () => {
  const { renew } = createHolder();
  const echo = renew({});
  renew({ echo, grants: [SHARD] });
  expect(renew({ release: [SHARD] }).held).toEqual([]);
  expect(renew({ echo, grants: [SHARD] }).held).toEqual([]);
  const higher = { ...SHARD, epoch: 3 };
  expect(renew({ echo, grants: [higher] }).held).toEqual([higher]);
});

test('a renewal under a lower keeper epoch changes nothing', () => {
  const { renew } = createHolder();
  const echo = renew({ keeperEpoch: 5 });
  const answer = renew({ keeperEpoch: 4, echo, grants: [SHARD] });
  expect([answer.accepted, answer.keeperEpoch, answer.held]).toEqual([false, 5, []]);
});

test('a release is acknowledged when no request for the shard runs or waits', () => {
  const { holder, renew, refusal, kinds } = createHolder();
  const echo = renew({});
  renew({ echo, grants: [SHARD] });
  holder.requestStarted(SHARD);
  expect(renew({ release: [SHARD] }).releasing).toEqual([SHARD]);
  expect([refusal(), refusal(true)]).toEqual(['not-owner', undefined]);
  holder.requestEnded(SHARD);
  expect(renew({}).releasing).toEqual([]);
  expect(kinds()).toEqual(['granted', 'released']);
});

test('after a lapse, waiting requests are refused even if the lease is renewed', async () => {
  const { holder, renew, refusal, kinds, hasLapsed, advance } = createHolder();
  renew({ echo: renew({}), grants: [SHARD], leaseMs: SHORT_MS });
  holder.requestStarted(SHARD);
  renew({ release: [SHARD] });
  expect(refusal(true)).toEqual(undefined);
  advance(SHORT_MS);
  await waitUntil('lapse', hasLapsed);
  const echo = renew({});
  expect(renew({ echo }).leaseLeftMs).toBeGreaterThan(0);
  expect(refusal(true)).toEqual('not-owner');
  holder.requestEnded(SHARD);
  expect(kinds()).toEqual(['granted', 'lapsed']);
});

test('a timer that fires before the lease expires is set again', async () => {
  const { renew, kinds, hasLapsed, advance, reads } = createHolder();
  renew({ echo: renew({}), grants: [SHARD], leaseMs: SHORT_MS });
  const before = reads();
  await waitUntil('timer', () => (reads() > before ? true : undefined));
  expect(kinds()).toEqual(['granted']);
  advance(SHORT_MS);
  await waitUntil('lapse', hasLapsed);
});

test('a request under another epoch is refused with the epoch that is held', () => {
  const { holder, renew } = createHolder();
  renew({ echo: renew({}), grants: [SHARD] });
  const refusal = holder.refusalOf({ ...SHARD, epoch: 1 }, false, 0);
  expect(refusal).toEqual({ reason: 'stale-epoch', epoch: 2 });
});
