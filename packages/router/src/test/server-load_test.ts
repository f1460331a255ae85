import { test } from 'node:test';

import { expect } from 'earl';

import { createServerLoad } from '../lib/server-load.js';

test('requests in hand are the own ones and those that the server reports of others', () => {
  const load = createServerLoad(2);
  load.sent(0);
  load.sent(0);
  load.done(0, 100, false);
  load.reported(100, { running: 2, waiting: 3, slots: 2 });
  expect(load.inFlight()).toEqual(1);
  // One of the five is the own request that is still on its way.
  expect(load.inHand(100)).toEqual(5);
});

test('an old report of a long queue fades to what is usual', () => {
  const load = createServerLoad(2);
  load.reported(0, { running: 2, waiting: 8, slots: 2 });
  const later = load.inHand(10_000);
  expect(later < 3).toEqual(true);
});

test('a server that was full long ago is not thought to be full for ever', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 50; index += 1) {
    load.reported(index, { running: 2, waiting: 8, slots: 2 });
  }
  expect(load.inHand(50) > 9).toEqual(true);
  expect(load.inHand(15_000) < 1).toEqual(true);
});

test('the service time is learned from requests that found a free slot', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) {
    load.sent(index);
    load.done(index, 100, false);
  }
  expect(Math.round(load.serviceMs())).toEqual(100);
});

test('the age of the oldest request on its way is known', () => {
  const load = createServerLoad(2);
  expect(load.oldestMs(50)).toEqual(0);
  load.sent(100);
  load.sent(300);
  expect(load.oldestMs(500)).toEqual(400);
  load.done(100, 400, false);
  expect(load.oldestMs(500)).toEqual(200);
});

test('failures raise the share of failures, cancelled requests do not', () => {
  const load = createServerLoad(2);
  load.sent(0);
  load.done(0, undefined);
  expect(load.failureShare()).toEqual(0);
  load.sent(0);
  load.done(0, undefined, true);
  expect(load.failureShare() > 0).toEqual(true);
});

test('a report is taken once', () => {
  const load = createServerLoad(2);
  load.sent(0);
  load.done(0, 80, false);
  const { serviceMs, ...outcomes } = load.takeMeasured();
  expect(outcomes).toEqual({ answered: 1, failed: 0 });
  expect(load.takeMeasured()).toEqual({ serviceMs, answered: 0, failed: 0 });
});

test('answers that take longer than their queue explains are expected to go on doing so', () => {
  const load = createServerLoad(2);
  expect(load.delayFactor()).toEqual(1);
  for (let index = 0; index < 30; index += 1) load.noteDelay(400, 800);
  expect(Math.round(load.delayFactor() * 10) / 10).toEqual(2);
  for (let index = 0; index < 60; index += 1) load.noteDelay(400, 400);
  expect(load.delayFactor() < 1.1).toEqual(true);
});

test('work of varying length without a queue changes little', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.noteDelay(200, index % 2 === 0 ? 100 : 300);
  expect(Math.abs(load.delayFactor() - 1) < 0.15).toEqual(true);
});

test('a server that is never idle is reported slower when its answers take longer than explained', () => {
  const load = createServerLoad(2);
  expect(load.takeMeasured().serviceMs).toEqual(0);
  load.sent(0);
  load.done(0, 100, false);
  for (let index = 0; index < 40; index += 1) load.noteDelay(500, 1_000);
  expect(Math.round(load.takeMeasured().serviceMs / load.serviceMs())).toEqual(2);
});
