import { test } from 'node:test';

import { expect } from 'earl';

import { createStalledCallers } from '../lib/stalled-callers.js';

// Guards against callers that read nothing and keep all room for answers for good, so that every
// other caller is refused.
test('a caller is stalled once it has read nothing for 10 s', () => {
  let now = 0;
  const stalled = createStalledCallers<{ bytesWritten: number; writableLength: number }>(() => now);
  const reads = { bytesWritten: 5_000, writableLength: 4_000 };
  const idle = { bytesWritten: 5_000, writableLength: 0 };
  const stuck = { bytesWritten: 5_000, writableLength: 4_000 };
  const found: unknown[] = [];
  for (now = 0; now <= 10_000; now += 1_000) {
    reads.writableLength -= 100;
    found.push(...stalled.find([reads, idle, stuck]).map((it) => [now, it.connection, it.forMs]));
  }
  expect(found).toEqual([[10_000, stuck, 10_000]]);
});

test('a look that follows at once finds nothing', () => {
  let now = 0;
  const stalled = createStalledCallers(() => now);
  const stuck = { bytesWritten: 2, writableLength: 1 };
  stalled.find([stuck]);
  now = 20_000;
  expect(stalled.find([stuck]).length).toEqual(1);
  now = 20_999;
  expect(stalled.find([stuck])).toEqual([]);
});
