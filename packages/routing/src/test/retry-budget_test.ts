import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { createRetryBudget } from '../lib/admission/index.js';
import { FakeClock } from './fake-clock.js';

const REQUESTS = 1_000;
const RETRY = { previousDelayMs: 0, deadlineAt: 10_000, expectedLatencyMs: 5 };

test('retries stay within a tenth of the requests when everything fails', () => {
  const budget = createRetryBudget({ clock: new FakeClock(), random: () => 0.5 });
  let retries = 0;
  for (let i = 0; i < REQUESTS; i += 1) {
    budget.recordRequest();
    for (let delay = budget.tryRetry(RETRY); delay !== undefined; delay = budget.tryRetry(RETRY)) {
      retries += 1;
    }
  }
  expect(retries <= REQUESTS / 10 + 1).toEqual(true);
  expect(retries >= REQUESTS / 10 - 1).toEqual(true);
});

test("a retry that can't finish before the deadline is refused and costs no token", () => {
  const budget = createRetryBudget({ clock: new FakeClock(), random: () => 0.5 });
  expect(budget.tryRetry({ ...RETRY, deadlineAt: 10 })).toEqual(undefined);
  expect(budget.tryRetry(RETRY) === undefined).toEqual(false);
});

test('delays lie between the base and three times the previous delay, and are capped', () => {
  const property = fc.property(
    fc.double({ min: 0, max: 0.999, noNaN: true }),
    fc.integer({ min: 0, max: 1_000 }),
    (random, previousDelayMs) => {
      const budget = createRetryBudget({ clock: new FakeClock(), random: () => random });
      const delayMs = budget.tryRetry({ ...RETRY, previousDelayMs }) ?? -1;
      expect(delayMs >= 5).toEqual(true);
      expect(delayMs <= Math.min(500, Math.max(5, previousDelayMs) * 3)).toEqual(true);
    },
  );
  fc.assert(property, { seed: 6, numRuns: 200 });
});
