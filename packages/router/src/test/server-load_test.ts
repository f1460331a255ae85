import { test } from 'node:test';

import { expect } from 'earl';

import { reportedServiceTimes } from '../lib/choose-server.js';
import { createServerLoad } from '../lib/server-load.js';

test('in-flight requests are the own ones and those of others that the server reports', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordSent(0);
  load.recordDone(0, false);
  load.recordReport(100, { running: 2, waiting: 3, slots: 2, slowdown: 1 });
  expect(load.ownInFlight()).toEqual(1);
  // One of the five is the own request that is still in flight.
  expect(load.totalInFlight(100)).toEqual(5);
});

test('an old report of a long queue decays to the average of the reports', () => {
  const load = createServerLoad(2);
  load.recordReport(0, { running: 2, waiting: 8, slots: 2, slowdown: 1 });
  const later = load.totalInFlight(10_000);
  expect(later < 3).toEqual(true);
});

test('the average decays too, so that a server does not count as full forever', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 50; index += 1) {
    load.recordReport(index, { running: 2, waiting: 8, slots: 2, slowdown: 1 });
  }
  expect(load.totalInFlight(50) > 9).toEqual(true);
  expect(load.totalInFlight(15_000) < 1).toEqual(true);
});

test('the service time is learned from latencies and the queues that explain them', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(1, 100);
  expect(Math.round(load.serviceMs())).toEqual(100);
  for (let index = 0; index < 60; index += 1) load.recordLatency(4, 400);
  expect(Math.round(load.serviceMs())).toEqual(100);
});

// Guards against a new router that takes servers for fast after one or two answers of each, and then
// a route for slow, whose answers take longer than that.
test('a few latencies change the typical service time of equal servers little', () => {
  let typicalMs = 250;
  const load = createServerLoad(2, () => typicalMs);
  expect(load.serviceMs()).toEqual(typicalMs);
  typicalMs = 600;
  load.recordLatency(1, 700);
  expect(load.serviceMs()).toBeGreaterThan(600);
  expect(load.serviceMs()).toBeLessThan(650);
  expect(load.ownServiceMs()).toEqual(700);
});

// Guards against an estimate that misses how much a server slows down when it is busy.
test('latencies beyond what the queue explains raise the service time', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(4, 800);
  expect(Math.round(load.serviceMs())).toEqual(200);
});

test('work of varying length changes the service time little', () => {
  const load = createServerLoad(2);
  for (let index = 0; index < 60; index += 1) load.recordLatency(1, index % 2 === 0 ? 100 : 300);
  expect(Math.abs(load.serviceMs() - 200) < 30).toEqual(true);
});

test('the age of the oldest in-flight request is known', () => {
  const load = createServerLoad(2);
  expect(load.oldestInFlightMs(50)).toEqual(0);
  load.recordSent(100);
  load.recordSent(300);
  expect(load.oldestInFlightMs(500)).toEqual(400);
  load.recordDone(100, false);
  expect(load.oldestInFlightMs(500)).toEqual(200);
});

test('failures raise the failure rate, cancelled requests do not', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordDone(0);
  expect(load.failureRate(0)).toEqual(0);
  load.recordSent(0);
  load.recordDone(0, true);
  expect(load.failureRate(0) > 0).toEqual(true);
});

test('measurements are reported once', () => {
  const load = createServerLoad(2);
  load.recordSent(0);
  load.recordDone(0, false);
  load.recordReport(80, { running: 2, waiting: 3, slots: 2, slowdown: 1 });
  load.recordLatency(1.5, 80);
  const answers = { latencyMs: 80, units: 1.5, answered: 1, failed: 0 };
  expect(load.takeMeasured()).toEqual({ ...answers, loadReports: 1, queuedPerSlot: 1.5 });
  const nothing = { latencyMs: 0, units: 0, answered: 0, failed: 0 };
  expect(load.takeMeasured()).toEqual({ ...nothing, loadReports: 0, queuedPerSlot: 0 });
});

// Guards against a measurement that the leader drops because it is no number.
test('a server without slots is reported with its queue', () => {
  const load = createServerLoad(0);
  load.recordReport(0, { running: 0, waiting: 3, slots: 0, slowdown: 1 });
  expect(load.takeMeasured().queuedPerSlot).toEqual(3);
});

// Guards against time in a queue, or a momentary slowdown, that the leader takes for slowness.
test('a report to the leader compares latencies with the load that answers report', () => {
  const load = createServerLoad(2);
  const full = { running: 2, waiting: 6, slots: 2, slowdown: 1 };
  load.recordLatency(1, 900, reportedServiceTimes(full));
  const { latencyMs, units } = load.takeMeasured();
  expect(Math.abs(latencyMs / units - 200) < 20).toEqual(true);
  expect(reportedServiceTimes({ ...full, slowdown: 4 })).toEqual(2 * reportedServiceTimes(full));
  load.recordLatency(1, 900);
  expect(load.takeMeasured().units).toEqual(1);
});
