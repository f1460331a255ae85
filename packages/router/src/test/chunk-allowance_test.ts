import { test } from 'node:test';

import { expect } from 'earl';

import { createChunkAllowance } from '../lib/chunk-allowance.js';

const PLACES = 4;
/** One chunk more than may come at once. */
const MANY = 4_097;
const SLOW_INTERVAL_MS = 200;

// Guards against a few clients that keep all others from sending bodies of tiny chunks for as long as
// they go on slowly.
test('bodies whose tiny chunks come slowly hold no places of others', () => {
  let now = 0;
  const allowance = createChunkAllowance(() => now, PLACES);
  const noteMany = () => {
    const count = allowance.begin();
    return Array.from({ length: MANY }, (_, index) => count.note(index + 1)).every((it) => it);
  };
  const slow = Array.from({ length: PLACES }, () => allowance.begin());
  for (const count of slow) for (let chunk = 1; chunk <= MANY; chunk += 1) count.note(chunk);
  expect(noteMany()).toEqual(false);
  for (let chunk = 1; chunk <= 10; chunk += 1) {
    now += SLOW_INTERVAL_MS;
    expect(slow.every((it) => it.note(MANY + chunk))).toEqual(true);
  }
  expect(noteMany()).toEqual(true);
});

// Guards against clients that send fast and yet hold no place.
test('bodies whose tiny chunks go on fast keep their places', () => {
  let now = 0;
  const allowance = createChunkAllowance(() => now, 1);
  const fast = allowance.begin();
  for (let chunk = 1; chunk <= 4 * MANY; chunk += 1) {
    now += 1;
    fast.note(chunk);
  }
  const other = allowance.begin();
  const taken = Array.from({ length: MANY }, (_, index) => other.note(index + 1));
  expect(taken.every((it) => it)).toEqual(false);
});
