import { test } from 'node:test';

import { expect } from 'earl';

import { type ServerLoad, createLoadMeter, createOutlierDetector } from '../lib/balance/index.js';
import { FakeClock } from './fake-clock.js';

function serversOf(count: number): ServerLoad[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `s${i}`,
    requests: 100,
    load: 500,
    latencyMs: 6,
    failures: 0,
  }));
}

function replace(servers: readonly ServerLoad[], id: string, by: Partial<ServerLoad>) {
  return servers.map((it) => (it.id === id ? { ...it, ...by } : it));
}

function setUp() {
  const clock = new FakeClock();
  const detector = createOutlierDetector({ clock });
  const observe = (servers: readonly ServerLoad[], forMs: number) => {
    const STEP_MS = 500;
    for (let passed = 0; passed < forMs; passed += STEP_MS) {
      detector.update(servers);
      clock.advance(STEP_MS);
    }
  };
  return { clock, detector, observe };
}

test('a server that is ten times slower becomes an outlier within two seconds', () => {
  const { detector, observe } = setUp();
  observe(replace(serversOf(8), 's3', { latencyMs: 60 }), 2_000);
  expect(detector.stateOf('s3')).toEqual('outlier');
  expect(detector.stateOf('s2')).toEqual('normal');
});

test('a server that is slow because of a high load is not an outlier', () => {
  const { detector, observe } = setUp();
  observe(replace(serversOf(8), 's3', { latencyMs: 60, load: 900 }), 5_000);
  expect(detector.stateOf('s3')).toEqual('normal');
});

test('a short latency spike does not make a server an outlier', () => {
  const { detector, observe } = setUp();
  observe(replace(serversOf(8), 's3', { latencyMs: 60 }), 500);
  observe(serversOf(8), 500);
  observe(replace(serversOf(8), 's3', { latencyMs: 60 }), 500);
  expect(detector.stateOf('s3')).toEqual('normal');
});

test('at most a quarter of the servers are outliers, and none when all are slow', () => {
  const { detector, observe } = setUp();
  const failing = serversOf(8).map((it, i) => ({ ...it, failures: i < 3 ? 1 : 0 }));
  observe(failing, 5_000);
  const outliers = failing.filter((it) => detector.stateOf(it.id) === 'outlier');
  expect(outliers.length).toEqual(2);

  const other = setUp();
  const slow = serversOf(8).map((it) => ({ ...it, latencyMs: 200, failures: 0.9 }));
  other.observe(slow, 5_000);
  expect(slow.every((it) => other.detector.stateOf(it.id) === 'normal')).toEqual(true);
});

test('an outlier returns on probation after 30 s, and after a longer time if it fails again', () => {
  const { clock, detector, observe } = setUp();
  const servers = replace(serversOf(8), 's3', { failures: 1 });
  observe(servers, 2_000);
  clock.advance(29_000);
  expect(detector.stateOf('s3')).toEqual('probation');
  observe(servers, 2_000);
  clock.advance(31_000);
  expect(detector.stateOf('s3')).toEqual('outlier');
});

test('a server that answers ten times slower, thus less often, is detected within two seconds', () => {
  const { clock, detector } = setUp();
  const meter = createLoadMeter({ clock, service: 'vitrina' });
  const record = (server: string, latencyMs: number) => {
    meter.record({ rule: 'r', keyHash: 'k', shard: 0, server, kind: 'ok', latencyMs });
  };
  const runFor = (endMs: number, isSlow: boolean) => {
    for (let ms = 0; ms < endMs; ms += 10) {
      for (const server of ['s0', 's1', 's2']) record(server, 6);
      if (!isSlow) record('s3', 6);
      else if (ms % 100 === 0) record('s3', 60);
      clock.advance(10);
      if (ms % 500 === 0) detector.update(meter.read().servers);
    }
  };
  runFor(10_000, false);
  expect(detector.stateOf('s3')).toEqual('normal');
  runFor(2_000, true);
  expect(detector.stateOf('s3')).toEqual('outlier');
});
