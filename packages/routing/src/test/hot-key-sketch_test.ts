import { test } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import {
  MAX_SUMMARY_BYTES,
  type ServiceLoad,
  createHotKeySketch,
  createLoadExchange,
  createLoadMeter,
  encodeLoadSummary,
  estimateShardLoads,
  mergeServiceLoads,
  parseLoadSummary,
} from '../lib/balance/index.js';
import { FakeClock } from './fake-clock.js';

const PROPERTY = { seed: 6, numRuns: 100 };
const CAPACITY = 16;
const ROUNDING = 1e-6;

test('a load is never underestimated, and overestimated by at most the total over the capacity', () => {
  const stream = fc.array(
    fc.integer({ min: 0, max: 8 }).chain((bits) => fc.nat(2 ** bits)),
    {
      minLength: 1,
      maxLength: 500,
    },
  );
  const property = fc.property(stream, (keys) => {
    const sketch = createHotKeySketch({ clock: new FakeClock(), capacity: CAPACITY });
    for (const key of keys) sketch.record({ keyHash: `${key}`, shard: key % 4, workMs: 1 });
    const reading = sketch.read();
    const unit = reading.total / keys.length;
    for (const { keyHash, load } of reading.keys) {
      const truth = keys.filter((it) => `${it}` === keyHash).length * unit;
      expect(load >= truth - ROUNDING).toEqual(true);
      expect(load <= truth + reading.total / CAPACITY + ROUNDING).toEqual(true);
    }
  });
  fc.assert(property, PROPERTY);
});

test('a new hot key replaces one whose count has decayed', () => {
  const clock = new FakeClock();
  const sketch = createHotKeySketch({ clock, halfLifeMs: 1_000 });
  for (let i = 0; i < 1_000; i += 1) sketch.record({ keyHash: 'old', shard: 0, workMs: 1 });
  clock.advance(100_000);
  sketch.record({ keyHash: 'new', shard: 1, workMs: 1 });
  const [hottest] = sketch.read().keys;
  expect(hottest?.keyHash).toEqual('new');
  expect([...sketch.read().shards.keys()]).toEqual([1]);
});

test('the load of a steady stream is its rate', () => {
  const clock = new FakeClock();
  const sketch = createHotKeySketch({ clock, halfLifeMs: 1_000 });
  for (let i = 0; i < 2_000; i += 1) {
    sketch.record({ keyHash: 'a', shard: 0, workMs: 2 });
    clock.advance(10);
  }
  const { total } = sketch.read();
  expect(total > 195 && total < 205).toEqual(true);
});

function loadOf(service: string, keys: number): ServiceLoad {
  const clock = new FakeClock();
  const meter = createLoadMeter({ clock, service });
  for (let key = 0; key < keys; key += 1) {
    const keyHash = key.toString(16).padStart(16, '0');
    const server = `backend-server-${key % 16}`;
    const sample = { rule: 'browse', kind: 'ok', latencyMs: 5 + key / 7 } as const;
    meter.record({ ...sample, keyHash, shard: key, server });
  }
  return meter.read();
}

test('the summary of a busy service stays within its size limit and can be parsed', () => {
  const text = encodeLoadSummary(loadOf('vitrina', 5_000));
  expect(Buffer.byteLength(text) <= MAX_SUMMARY_BYTES).toEqual(true);
  const read = parseLoadSummary(text)._unsafeUnwrap();
  expect(read.service).toEqual('vitrina');
  expect(read.keys.length).toEqual(12);
  expect(read.servers.length).toEqual(16);
  expect(read.shards.size > 20).toEqual(true);
});

test('an invalid summary is rejected', () => {
  for (const text of ['', '[]', '{"n":"a","t":-1,"s":[],"l":[],"k":[],"b":[]}']) {
    expect(parseLoadSummary(text).isErr()).toEqual(true);
  }
});

test('merged loads add up, and shards missing from a summary share the rest of its total', () => {
  const load = loadOf('vitrina', 4);
  const merged = mergeServiceLoads('vitrina', [load, load]);
  expect(Math.abs(merged.total - 2 * load.total) < ROUNDING).toEqual(true);
  const truncated = { ...load, shards: new Map([...load.shards].slice(0, 2)) };
  const estimates = estimateShardLoads([load, truncated], [0, 1, 2, 3]);
  const sum = [...estimates.values()].reduce((total, it) => total + it, 0);
  expect(Math.abs(sum - merged.total) < ROUNDING).toEqual(true);
});

test('routers exchange all their services in turn, and the summaries of a silent peer are ignored', () => {
  const clock = new FakeClock();
  const [a, b] = [createLoadExchange({ clock }), createLoadExchange({ clock })];
  const sample = { rule: 'r', kind: 'ok', latencyMs: 5, keyHash: 'k', server: 's0' } as const;
  for (const service of ['vitrina', 'caja']) b.record(service, { ...sample, shard: 3 });
  expect(a.shardLoads('caja', [3]).get(3)).toEqual(0);
  for (let i = 0; i < 2; i += 1) a.receive('b', b.nextSummary())._unsafeUnwrap();
  expect((a.shardLoads('caja', [3]).get(3) ?? 0) > 0).toEqual(true);
  expect(a.hotKeys('vitrina')[0]?.keyHash).toEqual('k');
  clock.advance(11_000);
  expect(a.servers('caja')).toEqual([]);
});
