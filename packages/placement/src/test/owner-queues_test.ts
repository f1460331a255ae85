import { test } from 'node:test';

import { expect } from 'earl';

import { createOwnerQueues, queueFiguresOf } from '../lib/owner-queues.js';

// Guards against a queue that no figure shows, because each router sees few answers of its owner.
test('the delay of a queue is known from the reports of all routers', () => {
  const queues = createOwnerQueues();
  queues.record({ server: 'a', loadReports: 1, queuedPerSlot: 3 });
  queues.record({ server: 'a', loadReports: 3, queuedPerSlot: 5 });
  queues.record({ server: 'b', loadReports: 2, queuedPerSlot: 0 });
  queues.record({ server: 'c', loadReports: 0, queuedPerSlot: 0 });
  const delays = queues.take(() => 100);
  expect([...delays]).toEqual([
    ['a', 200],
    ['b', 0],
  ]);
  expect(queueFiguresOf(delays)).toEqual({ servers: 2, meanDelayMs: 100, longestDelayMs: 200 });
  const none = queues.take(() => 100);
  expect(queueFiguresOf(none)).toEqual({ servers: 0, meanDelayMs: 0, longestDelayMs: 0 });
});
