import { test } from 'node:test';

import type { ServerEntry } from '@boragepoint/platform';
import { expect } from 'earl';

import { createRestoredEntries } from '../lib/restored-entries.js';

const entry = (startedMs: number, heartbeat: number): ServerEntry => ({
  id: 'a',
  service: 's',
  address: '127.0.0.1:1',
  availabilityZone: 'z',
  draining: false,
  slots: 2,
  warmUpMs: 0,
  startedMs,
  heartbeat,
});

// Guards against a server that drains, and counts as ready again by an entry of the copy.
test('an entry is outdated if a later heartbeat or incarnation is known', () => {
  const entries = createRestoredEntries();
  expect(entries.isOutdated(entry(1, 4), entry(1, 5))).toEqual(true);
  expect(entries.isOutdated(entry(1, 5), entry(1, 5))).toEqual(false);
  expect(entries.isOutdated(entry(1, 6), entry(1, 5))).toEqual(false);
  expect(entries.isOutdated(entry(1, 9), entry(2, 1))).toEqual(true);
  expect(entries.isOutdated(entry(2, 1), entry(1, 9))).toEqual(false);
});

// Guards against a server that has left, and comes back with the copy.
test('an entry is outdated if its removal is known', () => {
  const entries = createRestoredEntries();
  expect(entries.isOutdated(entry(1, 4), undefined)).toEqual(false);
  entries.noteRemoved(entry(1, 5));
  expect(entries.isOutdated(entry(1, 4), undefined)).toEqual(true);
  expect(entries.isOutdated(entry(1, 5), undefined)).toEqual(true);
  expect(entries.isOutdated(entry(1, 6), undefined)).toEqual(false);
  expect(entries.isOutdated(entry(2, 1), undefined)).toEqual(false);
});
