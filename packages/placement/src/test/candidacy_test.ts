import { test } from 'node:test';

import { expect } from 'earl';

import { createCandidacy } from '../lib/candidacy.js';
import type { LeaderLeaseReading } from '../lib/leader-lease.js';
import { type LeaderLeaseRecord, releasedLease } from '../lib/placement-record.js';

const WEAK = 0.27;
const STRONG = 0.675;
const FORMER = { router: 'former', address: '10.0.0.1:1', startedMs: 1 };

interface RowState {
  readonly lease?: Partial<LeaderLeaseRecord>;
  readonly strongestCapacity?: number;
}

/** A reading of a row whose lease has ended, unless `lease` says otherwise. */
function readingOf({ lease, strongestCapacity }: RowState): LeaderLeaseReading {
  const placement = {
    leaderLease: { ...releasedLease(FORMER, 1), handedOver: false, ...lease },
    version: 1,
    change: 1,
    nextFence: 1,
    services: new Map<string, never>(),
    suspects: [],
    peers: [],
    ...(strongestCapacity !== undefined && { strongestCapacity }),
  };
  const times = { storeNowMs: 1_000, askedAt: 0, receivedAt: 0 };
  return { era: 0, placement, copy: undefined, rowVersion: 1, ...times };
}

function setUp(capacity: number) {
  const state = { now: 0 };
  const self = { router: 'self', address: '10.0.0.2:1', startedMs: 1 };
  return { state, candidacy: createCandidacy(self, capacity, () => state.now) };
}

// Guards against a large fleet without a working leader for good: an instance that can't answer all
// routers acquires the lease first, loses it again, and leaves it to the next such instance.
test('a free lease is left to much stronger routers first', () => {
  const { state, candidacy } = setUp(WEAK);
  const free = readingOf({ strongestCapacity: STRONG });
  expect(candidacy.mayAcquire(free)).toEqual(false);
  state.now += 599;
  expect(candidacy.mayAcquire(free)).toEqual(false);
  state.now += 1;
  expect(candidacy.mayAcquire(free)).toEqual(true);
  // The next election starts anew.
  expect(candidacy.mayAcquire(free)).toEqual(false);
});

test('a lease that was held in between is left to stronger routers anew', () => {
  const { state, candidacy } = setUp(WEAK);
  const free = readingOf({ strongestCapacity: STRONG });
  const held = readingOf({ strongestCapacity: STRONG, lease: { untilMs: 2_000 } });
  expect(candidacy.mayAcquire(free)).toEqual(false);
  state.now += 600;
  expect(candidacy.mayAcquire(held)).toEqual(false);
  expect(candidacy.mayAcquire(free)).toEqual(false);
});

test('a free lease is acquired at once by routers of about the strongest capacity', () => {
  for (const capacity of [STRONG, STRONG / 1.4, 1.35]) {
    const { candidacy } = setUp(capacity);
    expect(candidacy.mayAcquire(readingOf({ strongestCapacity: STRONG }))).toEqual(true);
  }
});

test('a weak router acquires at once what it was handed over, and in a fleet that nobody knows', () => {
  const named = { handedOver: true, successor: 'self' };
  const { candidacy } = setUp(WEAK);
  expect(candidacy.mayAcquire(readingOf({ strongestCapacity: STRONG, lease: named }))).toEqual(
    true,
  );
  expect(candidacy.mayAcquire(readingOf({}))).toEqual(true);
  expect(candidacy.mayAcquire({ ...readingOf({}), placement: undefined })).toEqual(true);
});
