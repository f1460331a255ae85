import { mock, test } from 'node:test';

import { expect } from 'earl';

import { createPollScheduler } from '../lib/poll-scheduler.js';

const ANSWERING = { answers: true, version: 5 };

/** Runs a check with timers that only the check moves on. */
async function withTimers(check: () => unknown): Promise<void> {
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    await check();
  } finally {
    mock.timers.reset();
  }
}

test('the store may hold a poll for long only while another router would tell of a change', () =>
  withTimers(() => {
    const guide = createPollScheduler(() => 5);
    expect(guide.waitMs()).toEqual(2_000);
    guide.applyReport(ANSWERING);
    expect(guide.waitMs()).toEqual(20_000);
    guide.applyReport({ ...ANSWERING, answers: false });
    expect(guide.waitMs()).toEqual(2_000);
  }));

// Guards against a router that is cut off and whose watch stays silent for as long as a guided one
// may.
test('a long poll ends when the other router is not heard any more', () =>
  withTimers(() => {
    const guide = createPollScheduler(() => 5);
    guide.applyReport(ANSWERING);
    const signal = guide.beginPoll();
    mock.timers.tick(1_500);
    guide.applyReport(ANSWERING);
    mock.timers.tick(1_500);
    expect(signal.aborted).toEqual(false);
    mock.timers.tick(600);
    expect(signal.aborted).toEqual(true);
    expect(guide.waitMs()).toEqual(2_000);
  }));

// Guards against a change that is late because the watch's own connection has gone silent.
test('a change that others know and that does not arrive ends the poll', () =>
  withTimers(() => {
    let known = 5;
    const guide = createPollScheduler(() => known);
    const signal = guide.beginPoll();
    guide.applyReport({ answers: true, version: 6 });
    known = 6;
    mock.timers.tick(700);
    expect(signal.aborted).toEqual(false);
    guide.applyReport({ answers: true, version: 7 });
    mock.timers.tick(700);
    expect(signal.aborted).toEqual(true);
    expect(guide.wasAborted()).toEqual(true);
  }));

// Guards against entries that lapse while the store is away and are then taken for gone at once.
test('a long poll ends when the other router loses the store', () =>
  withTimers(() => {
    const guide = createPollScheduler(() => 5);
    guide.applyReport(ANSWERING);
    const signal = guide.beginPoll();
    guide.applyReport({ ...ANSWERING, answers: false });
    expect(signal.aborted).toEqual(true);
  }));

test('a short poll goes on although the other router loses the store', () =>
  withTimers(() => {
    const guide = createPollScheduler(() => 5);
    const signal = guide.beginPoll();
    guide.applyReport({ ...ANSWERING, answers: false });
    expect(signal.aborted).toEqual(false);
  }));

// Guards against hundreds of routers that all try a store that is away, several times a second.
test('tries are rarer while another router has lost the store, too, and its return ends the pause', () =>
  withTimers(async () => {
    const guide = createPollScheduler(() => 5);
    expect(guide.maxRetryMs()).toEqual(800);
    guide.applyReport({ ...ANSWERING, answers: false });
    expect(guide.maxRetryMs()).toEqual(2_400);
    const paused = guide.pause(2_400, new AbortController().signal);
    guide.applyReport(ANSWERING);
    await paused;
    expect(guide.maxRetryMs()).toEqual(800);
  }));
