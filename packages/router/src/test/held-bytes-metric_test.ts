import { test } from 'node:test';

import { expect } from 'earl';

import { createClientBudget } from '../lib/client-budget.js';
import { createRouterMetrics } from '../lib/router-metrics.js';
import { IDLE_SOURCES } from './metrics-sources.js';

// Guards against an instance that runs out of memory without a sign of who holds it.
test('the metrics tell what bytes are held for, and that they are given back', async () => {
  const budget = createClientBudget(1_000);
  const metrics = createRouterMetrics({
    ...IDLE_SOURCES,
    heldBytes: (kind) => budget.held(kind),
  });
  budget.add('responses', 300);
  const holding = await metrics.text();
  budget.add('responses', -300);
  const released = await metrics.text();
  expect(holding.includes('boragepoint_held_bytes{kind="responses"} 300\n')).toEqual(true);
  expect(holding.includes('boragepoint_held_bytes{kind="bodies"} 0\n')).toEqual(true);
  expect(released.includes('boragepoint_held_bytes{kind="responses"} 0\n')).toEqual(true);
});
