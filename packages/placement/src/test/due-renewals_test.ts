import { test } from 'node:test';

import { expect } from 'earl';

import { RENEWAL_CHECK_INTERVAL_MS, dueRenewals } from '../lib/due-renewals.js';
import { type HeldRange, newHolder, unownedRange } from '../lib/held-range.js';
import { LEASE_MS } from '../lib/leader-context.js';

function held(count: number, renewedAt: number): HeldRange[] {
  return Array.from({ length: count }, (_, index) => ({
    ...unownedRange({ first: index, last: index }),
    owner: newHolder({ server: 'a', address: 'a:1', startedMs: 1 }, index + 1),
    granted: true,
    renewedAt,
  }));
}

/**
 * Simulates renewals; returns the number of renewals of each check, and the highest age of a lease
 * in milliseconds.
 */
function simulate(ranges: readonly HeldRange[], forMs: number) {
  const counts: number[] = [];
  let oldestMs = 0;
  for (let now = 0; now < forMs; now += RENEWAL_CHECK_INTERVAL_MS) {
    const due = dueRenewals(ranges, now);
    counts.push(due.length);
    for (const range of due) range.renewedAt = now;
    oldestMs = Math.max(oldestMs, ...ranges.map((it) => now - it.renewedAt));
  }
  return { counts, oldestMs };
}

test('a new leader renews all leases immediately', () => {
  expect(dueRenewals(held(400, -Infinity), 0).length).toEqual(400);
});

// Guards against a leader of hundreds of ranges that blocks its event loop by renewing all of them
// at once.
test('renewals of leases that were granted together spread over time, and none comes close to expiry', () => {
  const { counts, oldestMs } = simulate(held(400, 0), 20_000);
  expect(Math.max(...counts) <= 40).toEqual(true);
  expect(oldestMs < LEASE_MS / 2).toEqual(true);
});

test('ranges that are being handed over or renewed are skipped', () => {
  const [busy, renewing, idle] = held(3, -Infinity);
  if (!busy || !renewing || !idle) throw new Error('expected three ranges');
  busy.busy = true;
  renewing.renewing = true;
  expect(dueRenewals([busy, renewing, idle], 0)).toEqual([idle]);
});
