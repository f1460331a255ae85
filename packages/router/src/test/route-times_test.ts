import { test } from 'node:test';

import { expect } from 'earl';

import { createRouteTimes } from '../lib/route-times.js';
import { createServiceDemand } from '../lib/service-demand.js';

test('routes with short and long requests at the same servers have their own service times', () => {
  const times = createRouteTimes(() => 0);
  for (let count = 0; count < 100; count += 1) {
    // Both waited for two other requests.
    times.record('short', 60 + 2 * 180, 3, 180);
    times.record('long', 360 + 2 * 180, 3, 180);
  }
  expect(Math.round(times.routeServiceMs('short', 180))).toEqual(60);
  expect(Math.round(times.routeServiceMs('long', 180))).toEqual(360);
  expect(times.routeServiceMs('new', 180)).toEqual(180);
});

test('one outlier changes the service time little', () => {
  const times = createRouteTimes(() => 0);
  for (let count = 0; count < 100; count += 1) times.record('r', 100, 1, 100);
  times.record('r', 10_000, 1, 100);
  times.record('r', 1, 5, 100);
  expect(times.routeServiceMs('r', 100) < 150).toEqual(true);
});

// Guards against a route whose requests are all refused for good since its first answers were slow.
test('what is known of a route fades while it gets no answers, and the next answers count anew', () => {
  let now = 0;
  const times = createRouteTimes(() => now);
  for (let count = 0; count < 100; count += 1) times.record('r', 700, 1, 100);
  const slowMs = times.routeServiceMs('r', 100);
  expect(slowMs > 600).toEqual(true);
  now = 8_000;
  expect(times.routeServiceMs('r', 100)).toEqual(slowMs);
  now = 60_000;
  expect(times.routeServiceMs('r', 100) < 110).toEqual(true);
  for (let count = 0; count < 4; count += 1) times.record('r', 700, 1, 100);
  expect(times.routeServiceMs('r', 100) > 400).toEqual(true);
});

// Guards against a slow route with few requests that counts as one of the mean time.
test('what is known of a route stays while answers come now and then', () => {
  let now = 0;
  const times = createRouteTimes(() => now);
  for (let count = 0; count < 100; count += 1) {
    now += 9_000;
    times.record('r', 700, 1, 100);
  }
  expect(times.routeServiceMs('r', 100) > 600).toEqual(true);
});

test('the objective of more urgent requests applies only while they are a notable share of the demand', () => {
  let now = 0;
  const demand = createServiceDemand(() => now);
  for (let count = 0; count < 20; count += 1) demand.record('s', 2, 1_000);
  demand.record('s', 0, 300);
  expect(demand.urgentObjectiveMs('s', 2)).toEqual(Infinity);
  for (let count = 0; count < 5; count += 1) demand.record('s', 0, 300);
  expect(demand.urgentObjectiveMs('s', 2)).toEqual(300);
  expect(demand.urgentObjectiveMs('s', 0)).toEqual(Infinity);
  now = 60_000;
  for (let count = 0; count < 20; count += 1) demand.record('s', 2, 1_000);
  expect(demand.urgentObjectiveMs('s', 2)).toEqual(Infinity);
});

test('each service has its own demand', () => {
  const demand = createServiceDemand(() => 0);
  demand.record('a', 0, 300);
  expect(demand.urgentObjectiveMs('b', 1)).toEqual(Infinity);
});

// Guards against a route that is refused for ten seconds and more, as only answers would correct a
// service time that is too long.
test('a route without answers is probed once a second', () => {
  let now = 0;
  const times = createRouteTimes(() => now);
  expect(times.takeProbe('r')).toEqual(false);
  times.record('r', 800, 1, 100);
  const probes: number[] = [];
  for (; now < 3_000; now += 100) if (times.takeProbe('r')) probes.push(now);
  expect(probes).toEqual([1_000, 2_000]);
});

// Guards against a target for queues that one route of few requests, with a strict objective, sets.
test('the usual objective of a service is the mean over its recent requests', () => {
  let now = 0;
  const demand = createServiceDemand(() => now);
  expect(demand.meanObjectiveMs('s')).toEqual(undefined);
  for (let count = 0; count < 90; count += 1) demand.record('s', 0, 1_000);
  for (let count = 0; count < 10; count += 1) demand.record('s', 2, 3_000);
  expect(demand.meanObjectiveMs('s')).toEqual(1_200);
  now = 60_000;
  demand.record('s', 1, 500);
  expect(demand.meanObjectiveMs('s') ?? 0).toBeLessThan(600);
});
