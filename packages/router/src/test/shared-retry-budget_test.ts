import { test } from 'node:test';

import { expect } from 'earl';

import { createSharedRetryBudget } from '../lib/shared-retry-budget.js';

const limits = { ratio: 0.2, slack: 60, windowMs: 10_000 };

function countRetries(requests: number, routers: number): number {
  const budget = createSharedRetryBudget(() => limits);
  for (let index = 0; index < requests; index += 1) budget.recordRequest(0);
  let count = 0;
  while (budget.tryRetry(0, routers)) count += 1;
  return count;
}

test('routers together stay within the budget', () => {
  const together = 12 * countRetries(50, 12);
  expect(together <= limits.ratio * 600 + limits.slack).toEqual(true);
});

test('a router without requests still has its share of the slack', () => {
  expect(countRetries(0, 12) >= 3).toEqual(true);
});

test('retries are available again as the window moves on', () => {
  const budget = createSharedRetryBudget(() => limits);
  while (budget.tryRetry(0, 12));
  expect(budget.tryRetry(limits.windowMs - 1, 12)).toEqual(false);
  expect(budget.tryRetry(limits.windowMs + 1, 12)).toEqual(true);
});
