import { test } from 'node:test';

import { expect } from 'earl';

import { createKnownShares, createPublishedShares } from '../lib/admitted-shares.js';

const sharesOf = (a: number) => new Map([['a', a]]);

// Guards against answers that grow with the number of limited servers, whether they changed or not.
test('only shares that changed enough are published again', () => {
  const published = createPublishedShares();
  published.update(
    new Map([
      ['a', 0.5],
      ['b', 0.5],
    ]),
  );
  const known = published.change();
  published.update(
    new Map([
      ['a', 0.55],
      ['b', 0.38],
    ]),
  );
  expect([...published.since(known)]).toEqual([['b', 0.38]]);
  published.update(sharesOf(0.55));
  expect([...published.since(known)]).toEqual([['b', 1]]);
  expect([...published.all()]).toEqual([['a', 0.5]]);
});

// Guards against a small share of a hot key whose change is lost between two steps.
test('a small share is published again from a relative change on', () => {
  const published = createPublishedShares();
  published.update(sharesOf(0.02));
  published.update(sharesOf(0.03));
  expect(published.all().get('a')).toEqual(0.03);
});

// Guards against a limit that is never lifted, because its end was sent to another epoch's router.
test('changes are merged, and a complete answer replaces what a former leader said', () => {
  const known = createKnownShares(() => 0);
  known.apply({ epoch: 1, shares: sharesOf(0.5), change: 4, isComplete: true });
  known.apply({ epoch: 1, shares: new Map([['b', 0.3]]), change: 5, isComplete: false });
  expect([known.shareOf('a'), known.shareOf('b')]).toEqual([0.5, 0.3]);
  expect([known.knownChange(1), known.knownChange(2)]).toEqual([5, 0]);
  known.apply({ epoch: 1, shares: sharesOf(1), change: 6, isComplete: false });
  expect(known.shareOf('a')).toEqual(1);
  known.apply({ epoch: 2, shares: new Map(), change: 1, isComplete: true });
  expect(known.shareOf('b')).toEqual(1);
});

// Guards against limits that stay while no leader adjusts them, and against all routers dropping
// them in the same moment.
test('a limit fades while the leader does not answer', () => {
  let now = 0;
  const known = createKnownShares(() => now);
  known.apply({ epoch: 1, shares: sharesOf(0.5), change: 1, isComplete: true });
  now = 2_000;
  expect(known.shareOf('a')).toEqual(0.5);
  now = 3_000;
  expect(known.shareOf('a')).toEqual(0.75);
  now = 12_000;
  expect(known.shareOf('a')).toBeGreaterThan(0.99);
});
