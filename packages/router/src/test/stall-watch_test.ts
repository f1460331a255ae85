import { mock, test } from 'node:test';

import { expect } from 'earl';

import { type Stall, watchStalls } from '../lib/stall-watch.js';

test('an event loop that is on time causes no read delay', () => {
  let now = 0;
  mock.timers.enable({ apis: ['setInterval'] });
  try {
    using watch = watchStalls(
      () => undefined,
      () => now,
    );
    now = 105;
    mock.timers.tick(100);
    now = 180;
    expect(watch.readDelayMs()).toEqual(0);
  } finally {
    mock.timers.reset();
  }
});

test('data that is read after a stall may have waited as long as the stall', () => {
  let now = 0;
  const stalls: Stall[] = [];
  mock.timers.enable({ apis: ['setInterval'] });
  try {
    using watch = watchStalls(
      (it) => stalls.push(it),
      () => now,
    );
    now = 800;
    expect(watch.readDelayMs()).toEqual(700);
    // The late check runs before the waiting data is read.
    mock.timers.tick(100);
    expect(watch.readDelayMs()).toEqual(700);
    expect(stalls.map((it) => it.lateMs)).toEqual([700]);
    // Reading the waiting data takes a while; the next check is on time.
    now = 880;
    expect(watch.readDelayMs()).toEqual(700);
    now = 900;
    mock.timers.tick(100);
    expect(watch.readDelayMs()).toEqual(0);
  } finally {
    mock.timers.reset();
  }
});
