import { test } from 'node:test';

import { expect } from 'earl';

import {
  heldUntil,
  maxLeaseMs,
  noLease,
  recordAnswered,
  recordReleased,
  recordUnanswered,
} from '../lib/lease-bound.js';

const times = { leaseMs: 6_000, transitMs: 1_000 };

test('a server that was never granted a range does not hold it', () => {
  expect(heldUntil(noLease())).toEqual(-Infinity);
});

test('the bound of a lease allows for a slow clock of the server', () => {
  const bound = noLease();
  recordAnswered(bound, 10_000, times);
  expect(heldUntil(bound) >= 10_000 + 6_000 * 1.02).toEqual(true);
});

test('an answered release ends an answered grant', () => {
  const bound = noLease();
  recordAnswered(bound, 10_000, times);
  recordReleased(bound);
  expect(heldUntil(bound)).toEqual(-Infinity);
});

test('an answered release does not end an unanswered grant, which may be carried out later', () => {
  const bound = noLease();
  recordAnswered(bound, 10_000, times);
  recordUnanswered(bound, 11_000, 11_500, times);
  recordReleased(bound);
  expect(heldUntil(bound)).toEqual(11_000 + times.transitMs + maxLeaseMs(times));
});
