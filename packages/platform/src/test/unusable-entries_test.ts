import { test } from 'node:test';

import { expect } from 'earl';

import { type ToldEntry, createUnusableEntries } from '../lib/unusable-entries.js';

function setUp() {
  let now = 0;
  let counted = 0;
  const told: ToldEntry[] = [];
  const { note } = createUnusableEntries({
    now: () => now,
    count: () => (counted += 1),
    tell: (entry) => told.push(entry),
  });
  const at = (ms: number) => {
    now = ms;
  };
  return { note, told, at, counted: () => counted };
}

const entryOf = (key: string, reason = 'odd') => ({ source: 't', key, reason });

// Guards against a line in the log with each heartbeat of an odd entry.
test('an unusable entry is counted and told once, and once more for another reason', () => {
  const { note, told, at, counted } = setUp();
  for (let round = 0; round < 50; round += 1) {
    at(round * 10_000);
    note(entryOf('a'));
  }
  expect(told).toEqual([{ ...entryOf('a'), untold: 0 }]);
  note(entryOf('a', 'odder'));
  note({ ...entryOf('a'), source: 'u' });
  expect(told.map((it) => it.source)).toEqual(['t', 't', 'u']);
  expect(counted()).toEqual(3);
});

// Guards against a log and a memory that thousands of odd entries fill.
test('of thousands of unusable entries few are told at a time, and none twice', () => {
  const { note, told, at, counted } = setUp();
  const keys = Array.from({ length: 3_000 }, (_, index) => `k-${index}`);
  for (const key of keys) note(entryOf(key));
  expect(told.length).toEqual(20);
  expect(counted()).toEqual(3_000);
  for (let round = 1; round < 200; round += 1) {
    at(round * 10_000);
    for (const key of keys) note(entryOf(key));
    expect(told.length).toEqual(Math.min(3_000, 20 * (round + 1)));
  }
  expect(new Set(told.map((it) => it.key)).size).toEqual(3_000);
  expect(counted()).toEqual(3_000);
  expect([told[19]?.untold, told[20]?.untold, told.at(-1)?.untold]).toEqual([0, 2_979, 0]);
});

test('more entries than are remembered are told in bounded number', () => {
  const { note, told, at } = setUp();
  for (let round = 0; round < 5; round += 1) {
    at(round * 10_000);
    for (let index = 0; index < 10_000; index += 1) note(entryOf(`k-${index}`));
  }
  expect(told.length).toEqual(100);
  expect(told.every((it) => it.untold >= 0 && it.untold <= 4_000)).toEqual(true);
});

test('long keys and reasons are shortened', () => {
  const { note, told } = setUp();
  note(entryOf('k'.repeat(10_000), 'r'.repeat(10_000)));
  expect(JSON.stringify(told[0]).length < 600).toEqual(true);
});
