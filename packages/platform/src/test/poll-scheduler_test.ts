import { mock, test } from 'node:test';

import { expect } from 'earl';

import { createPollScheduler } from '../lib/poll-scheduler.js';

const ANSWERING = { answers: true, version: 5, confirmedAt: -Infinity };

/** Runs a check with mocked timers that only the check advances. */
async function withTimers(check: () => unknown): Promise<void> {
  mock.timers.enable({ apis: ['setTimeout'] });
  try {
    await check();
  } finally {
    mock.timers.reset();
  }
}

test('a poll is long only while another router would report changes', () =>
  withTimers(() => {
    const scheduler = createPollScheduler({ knownVersion: () => 5 });
    expect(scheduler.waitMs()).toEqual(2_000);
    scheduler.applyReport(ANSWERING);
    expect(scheduler.waitMs()).toEqual(20_000);
    scheduler.applyReport({ ...ANSWERING, answers: false });
    expect(scheduler.waitMs()).toEqual(2_000);
  }));

// Guards against a router that is cut off from its peers and notices a dead connection only after a
// long poll.
test('a long poll is aborted when the reports of the other router stop', () =>
  withTimers(() => {
    const scheduler = createPollScheduler({ knownVersion: () => 5 });
    scheduler.applyReport(ANSWERING);
    const signal = scheduler.beginPoll();
    mock.timers.tick(1_500);
    scheduler.applyReport(ANSWERING);
    mock.timers.tick(1_500);
    expect(signal.aborted).toEqual(false);
    mock.timers.tick(600);
    expect(signal.aborted).toEqual(true);
    expect(scheduler.waitMs()).toEqual(2_000);
  }));

// Guards against a change that is late because the connection of this watch is dead.
test('a poll is aborted when a reported change does not arrive', () =>
  withTimers(() => {
    let known = 5;
    const scheduler = createPollScheduler({ knownVersion: () => known });
    const signal = scheduler.beginPoll();
    scheduler.applyReport({ ...ANSWERING, version: 6 });
    known = 6;
    mock.timers.tick(700);
    expect(signal.aborted).toEqual(false);
    scheduler.applyReport({ ...ANSWERING, version: 7 });
    mock.timers.tick(700);
    expect(signal.aborted).toEqual(true);
    expect(scheduler.wasAborted()).toEqual(true);
  }));

// Guards against registry entries that expire during an outage of the store and are then treated as
// removed immediately, because a long poll has not detected the outage.
test('a long poll is aborted when the other router reports the loss of the store', () =>
  withTimers(() => {
    const scheduler = createPollScheduler({ knownVersion: () => 5 });
    scheduler.applyReport(ANSWERING);
    const signal = scheduler.beginPoll();
    scheduler.applyReport({ ...ANSWERING, answers: false });
    expect(signal.aborted).toEqual(true);
  }));

test('a short poll continues when the other router reports the loss of the store', () =>
  withTimers(() => {
    const scheduler = createPollScheduler({ knownVersion: () => 5 });
    const signal = scheduler.beginPoll();
    scheduler.applyReport({ ...ANSWERING, answers: false });
    expect(signal.aborted).toEqual(false);
  }));

// Guards against hundreds of routers that each retry an unavailable store several times a second.
test('retries are rarer while another router has lost the store too, and its report of recovery ends the pause', () =>
  withTimers(async () => {
    const scheduler = createPollScheduler({ knownVersion: () => 5 });
    expect(scheduler.maxRetryMs()).toEqual(800);
    scheduler.applyReport({ ...ANSWERING, answers: false });
    expect(scheduler.maxRetryMs()).toEqual(2_400);
    const paused = scheduler.pause(2_400, new AbortController().signal);
    scheduler.applyReport(ANSWERING);
    await paused;
    expect(scheduler.maxRetryMs()).toEqual(800);
  }));

// Guards against requests that reach a leaving server long after the store took its word: the router
// that delivered the changes had lost the store, and said so only when its own poll had failed.
test('a watch whose changes are delivered polls when the reports cover too little, however often they come', (t) =>
  withTimers(() => {
    let now = 10_000;
    t.mock.method(performance, 'now', () => now);
    const advance = (ms: number) => {
      now += ms;
      mock.timers.tick(ms);
    };
    const scheduler = createPollScheduler({ knownVersion: () => 5, peerDeliversChanges: true });
    const covering = { ...ANSWERING, confirmedAt: 10_000 };
    scheduler.applyReport(covering);
    const signal = scheduler.beginPoll();
    for (let reports = 0; reports < 3; reports += 1) {
      advance(600);
      scheduler.applyReport(covering);
    }
    expect(signal.aborted).toEqual(false);
    advance(200);
    expect(signal.aborted).toEqual(true);
    expect(scheduler.isPeerWatching()).toEqual(false);
    scheduler.applyReport({ ...covering, confirmedAt: now - 100 });
    expect(scheduler.isPeerWatching()).toEqual(true);
  }));
