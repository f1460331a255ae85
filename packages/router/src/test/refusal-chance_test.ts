import { test } from 'node:test';

import { expect } from 'earl';

import { refusalChance } from '../lib/refusal-chance.js';

const usual = { refusedShare: 0.5, remainingMs: 8_000, objectiveMs: 1_000, hasMoreUrgent: false };

// Guards against refusals that hit those who can't come back as often as those who can.
test('requests with little time left are refused less often, less urgent ones more often', () => {
  expect(refusalChance(usual)).toEqual(0.5);
  expect(refusalChance({ ...usual, remainingMs: 800 })).toBeLessThan(0.1);
  expect(refusalChance({ ...usual, hasMoreUrgent: true })).toBeGreaterThan(0.6);
});

// Guards against a limit without effect, where all requests have little time or are urgent.
test('the limit acts on all requests', () => {
  const nearlyAll = { ...usual, refusedShare: 0.95 };
  expect(refusalChance({ ...nearlyAll, remainingMs: 800 })).toBeGreaterThan(0.8);
  expect(refusalChance({ ...usual, refusedShare: 0 })).toEqual(0);
  expect(refusalChance({ ...usual, refusedShare: 0, hasMoreUrgent: true })).toEqual(0);
});
