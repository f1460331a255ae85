import { test } from 'node:test';

import { expect } from 'earl';

import { createServerSpeeds } from '../lib/server-speed.js';

/** Returns a report of requests that each took `serviceMs` without queueing. */
const report = (serviceMs: number, answered: number) => ({
  server: 'a',
  latencyMs: serviceMs * answered,
  units: answered,
  answered,
  failed: 0,
  loadReports: 0,
  queuedPerSlot: 0,
});

test('one slow request hardly changes the estimated capacity of a server', () => {
  const speeds = createServerSpeeds();
  for (let index = 0; index < 10; index += 1) speeds.record(report(200, 3));
  const before = speeds.capacityOf('a', 2, false);
  speeds.record(report(800, 1));
  expect(speeds.capacityOf('a', 2, false) > before * 0.8).toEqual(true);
});

test('the capacity of a server that became slow is corrected after a few dozen requests', () => {
  const speeds = createServerSpeeds();
  for (let index = 0; index < 10; index += 1) speeds.record(report(200, 3));
  for (let index = 0; index < 12; index += 1) speeds.record(report(800, 3));
  expect(speeds.capacityOf('a', 2, false) < 4).toEqual(true);
});

test('response time that is caused by a queue does not lower the capacity', () => {
  const speeds = createServerSpeeds();
  speeds.record(report(200, 20));
  const before = speeds.capacityOf('a', 2, false);
  speeds.record({
    server: 'a',
    latencyMs: 8_000,
    units: 40,
    answered: 10,
    failed: 0,
    loadReports: 0,
    queuedPerSlot: 0,
  });
  expect(Math.abs(speeds.capacityOf('a', 2, false) - before) < 0.01).toEqual(true);
});

test('a dozen requests suffice to show that a server is twice as fast', () => {
  const speeds = createServerSpeeds();
  for (const server of ['b', 'c']) speeds.record({ ...report(400, 12), server });
  speeds.record(report(200, 12));
  const ratio = speeds.capacityOf('a', 2, false) / speeds.capacityOf('b', 2, false);
  expect(ratio > 1.5).toEqual(true);
});

test('a server that fails most of its requests has a low capacity', () => {
  const speeds = createServerSpeeds();
  speeds.record({ ...report(200, 1), failed: 30 });
  expect(speeds.capacityOf('a', 2, false) < 3).toEqual(true);
});

test('one fast first request does not raise the capacity of a server far above that of others', () => {
  const speeds = createServerSpeeds();
  for (const server of ['b', 'c', 'd']) speeds.record({ ...report(200, 20), server });
  speeds.record(report(20, 1));
  expect(speeds.capacityOf('a', 2, false) < speeds.capacityOf('b', 2, false) * 1.5).toEqual(true);
  for (let index = 0; index < 40; index += 1) speeds.record(report(20, 3));
  expect(speeds.capacityOf('a', 2, false) <= speeds.capacityOf('b', 2, false) * 3.3).toEqual(true);
});

// Guards against a full server that loses three quarters of its keys because it refuses requests.
test('a server whose failures are forgiven has its full capacity', () => {
  const speeds = createServerSpeeds();
  speeds.record(report(200, 20));
  const before = speeds.capacityOf('a', 2, false);
  speeds.record({ ...report(200, 1), failed: 30 });
  expect(speeds.capacityOf('a', 2, false)).toBeLessThan(before / 2);
  speeds.forgiveFailures('a');
  expect(Math.abs(speeds.capacityOf('a', 2, false) - before) < 0.01).toEqual(true);
});

test('the capacity of a server is the more certain, the more requests it has answered', () => {
  const speeds = createServerSpeeds();
  expect(speeds.deviationOf('a')).toEqual(0.5);
  speeds.record(report(200, 60));
  expect(speeds.deviationOf('a')).toBeLessThan(0.12);
});
