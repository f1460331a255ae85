import { test } from 'node:test';

import { expect } from 'earl';

import { createServerLoad } from '../lib/server-load.js';

test('requests in hand are the own ones and those that the server reports of others', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordSent(0);
  load.recordDone(0, false);
  load.recordReport(100, { running: 2, waiting: 3, slots: 2 });
  expect(load.ownInFlight()).toEqual(1);
  // One of the five is the own request that is still on its way.
  expect(load.totalInFlight(100)).toEqual(5);
});

test('an old report of a long queue fades to what is usual', () => {
  const load = createServerLoad(2);
  load.recordReport(0, { running: 2, waiting: 8, slots: 2 });
  const later = load.totalInFlight(10_000);
  expect(later < 3).toEqual(true);
});

test('a server that was full long ago is not thought to be full for ever', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 50; index += 1) {
    load.recordReport(index, { running: 2, waiting: 8, slots: 2 });
  }
  expect(load.totalInFlight(50) > 9).toEqual(true);
  expect(load.totalInFlight(15_000) < 1).toEqual(true);
});

test('the service time is learned from times and from the queues that explain them', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(1, 100);
  expect(Math.round(load.serviceMs())).toEqual(100);
  for (let index = 0; index < 60; index += 1) load.recordLatency(4, 400);
  expect(Math.round(load.serviceMs())).toEqual(100);
});

test('a server that slows down when it is busy is known by its long answers', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(4, 800);
  expect(Math.round(load.serviceMs())).toEqual(200);
});

test('work of varying length changes the service time little', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(1, index % 2 === 0 ? 100 : 300);
  expect(Math.abs(load.serviceMs() - 200) < 30).toEqual(true);
});

test('the age of the oldest request on its way is known', () => {
  const load = createServerLoad(2);
  expect(load.oldestInFlightMs(50)).toEqual(0);
  load.recordSent(100);
  load.recordSent(300);
  expect(load.oldestInFlightMs(500)).toEqual(400);
  load.recordDone(100, false);
  expect(load.oldestInFlightMs(500)).toEqual(200);
});

test('failures raise the share of failures, cancelled requests do not', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordDone(0);
  expect(load.failureRate()).toEqual(0);
  load.recordSent(0);
  load.recordDone(0, true);
  expect(load.failureRate() > 0).toEqual(true);
});

test('a report is taken once', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordDone(0, false);
  load.recordLatency(1.5, 80);
  expect(load.takeMeasured()).toEqual({ latencyMs: 80, units: 1.5, answered: 1, failed: 0 });
  expect(load.takeMeasured()).toEqual({ latencyMs: 0, units: 0, answered: 0, failed: 0 });
});
