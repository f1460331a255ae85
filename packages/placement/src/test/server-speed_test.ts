import { test } from 'node:test';

import { expect } from 'earl';

import { createServerSpeeds } from '../lib/server-speed.js';

const report = (serviceMs: number, answered: number) => ({
  server: 'a',
  serviceMs,
  answered,
  failed: 0,
});

test('one odd request hardly changes what a server is thought to run', () => {
  const speeds = createServerSpeeds();
  for (let index = 0; index < 10; index += 1) speeds.record(report(200, 3));
  const before = speeds.capacityOf('a', 2, false);
  speeds.record(report(800, 1));
  expect(speeds.capacityOf('a', 2, false) > before * 0.8).toEqual(true);
});

test('a server that has turned slow is known after some dozens of requests', () => {
  const speeds = createServerSpeeds();
  for (let index = 0; index < 10; index += 1) speeds.record(report(200, 3));
  for (let index = 0; index < 12; index += 1) speeds.record(report(800, 3));
  expect(speeds.capacityOf('a', 2, false) < 4).toEqual(true);
});

test('a report of many requests counts as much as many reports of one', () => {
  const [many, one] = [createServerSpeeds(), createServerSpeeds()];
  for (const speeds of [many, one]) speeds.record(report(200, 1));
  many.record(report(400, 5));
  for (let index = 0; index < 5; index += 1) one.record(report(400, 1));
  const difference = many.capacityOf('a', 2, false) - one.capacityOf('a', 2, false);
  expect(Math.abs(difference) < 1e-9).toEqual(true);
});

test('a server that fails most of its requests counts for little', () => {
  const speeds = createServerSpeeds();
  speeds.record({ server: 'a', serviceMs: 200, answered: 1, failed: 30 });
  expect(speeds.capacityOf('a', 2, false) < 3).toEqual(true);
});

test('a server with one lucky first request is not thought to run many times more than others', () => {
  const speeds = createServerSpeeds();
  for (const server of ['b', 'c', 'd']) speeds.record({ ...report(200, 20), server });
  speeds.record(report(20, 1));
  expect(speeds.capacityOf('a', 2, false) < speeds.capacityOf('b', 2, false) * 1.5).toEqual(true);
  for (let index = 0; index < 40; index += 1) speeds.record(report(20, 3));
  expect(speeds.capacityOf('a', 2, false) <= speeds.capacityOf('b', 2, false) * 3.3).toEqual(true);
});
