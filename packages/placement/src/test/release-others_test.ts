import { test } from 'node:test';

import { expect } from 'earl';

import { newHolder, unownedRange } from '../lib/held-range.js';
import { releaseOthers, spansBetween } from '../lib/release-others.js';
import { createFakeContext } from './fake-context.js';
import { createFakeDirectory, incarnationOf } from './fake-directory.js';
import { createFakeHolders } from './fake-holders.js';

test('the spans between ranges are all keys that are in none of them', () => {
  expect(spansBetween([])).toEqual([{ first: 0, last: 65_535 }]);
  expect(spansBetween([{ first: 0, last: 65_535 }])).toEqual([]);
  const ranges = [
    { first: 10, last: 19 },
    { first: 20, last: 29 },
    { first: 40, last: 65_535 },
  ];
  expect(spansBetween(ranges)).toEqual([
    { first: 0, last: 9 },
    { first: 30, last: 39 },
  ]);
});

// Guards against a server that holds keys by a grant which only the last leader knew of.
test('keys are released at every server but their owner, and silent servers are named', async () => {
  const now = () => performance.now();
  const holders = createFakeHolders(now);
  let fence = 70;
  const ctx = createFakeContext(holders, {
    directory: createFakeDirectory(['a', 'b', 'c']),
    clocks: { monotonic: now, timeOfDay: Date.now },
    times: { leaseMs: 300, transitMs: 50 },
    nextFence: () => (fence += 1),
  });
  const grant = { first: 0, last: 99, fence: 8, leaseMs: 60_000, handover: undefined };
  await holders.grant({ serverId: 'b', address: 'b:1' }, grant, 100);
  holders.modes.set('c', 'silent');
  const range = {
    ...unownedRange({ first: 0, last: 99 }),
    owner: newHolder(incarnationOf('a'), 9),
  };
  const rest = {
    ...unownedRange({ first: 100, last: 65_535 }),
    owner: newHolder(incarnationOf('b'), 10),
  };
  const silent = await releaseOthers(ctx, 's', [range, rest]);
  expect(silent).toEqual(['c']);
  expect(holders.holdersOf(50)).toEqual([]);
  const releases = new Set(holders.sent.filter((it) => it.startsWith('release')));
  expect([...releases].sort()).toEqual([
    'release a 100-65535 #71',
    'release b 0-99 #71',
    'release c 0-65535 #71',
  ]);
});
