import { test } from 'node:test';

import { SuspectRunSchema } from '@boragepoint/protocol';
import { create, toBinary } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';

import { createSuspectRecord } from '../lib/suspect-record.js';
import {
  type AgedRun,
  type RunState,
  type SuspectRun,
  decodeRun,
  encodeRun,
  joinRuns,
} from '../lib/suspect-run.js';

const SEED = 19;
const STATES: readonly RunState[] = ['running', 'lost', 'ended', 'cleared'];

let runs = 0;

function runOf(server: string, more: Partial<SuspectRun> = {}): SuspectRun {
  runs += 1;
  return {
    request: 'f',
    caller: 'c',
    run: `run-${runs}`,
    server,
    startedMs: 1,
    state: 'ended',
    othersServed: false,
    ...more,
  };
}

const received = (run: SuspectRun): AgedRun => ({ ...run, ageMs: 0 });
const IDENTITY = { request: 'f', caller: 'c' };

test('runs of equal requests are counted once per incarnation, whichever router reports them', () => {
  const record = createSuspectRecord(() => 0);
  const own = runOf('a');
  record.put(own);
  record.merge([
    received(own),
    received(runOf('b')),
    received(runOf('b')),
    received(runOf('a', { startedMs: 2 })),
  ]);
  expect(record.crashCountsOf(IDENTITY)).toEqual({ lives: 3, ended: 3 });
  expect(record.crashCountsOf({ ...IDENTITY, request: 'other' }).lives).toEqual(0);
});

// Guards against a popular request that stays suspect for as long as it is sent: each watched run made
// the next one suspect, long after an answer had cleared the request.
test("runs that are only watched don't make equal requests suspect once a loss is cleared", () => {
  const record = createSuspectRecord(() => 0);
  record.put(runOf('a'));
  record.put(runOf('b', { state: 'running' }));
  expect(record.crashCountsOf(IDENTITY)).toEqual({ lives: 2, ended: 1 });
  record.noteAnswered(IDENTITY);
  expect(record.crashCountsOf(IDENTITY)).toEqual({ lives: 0, ended: 0 });
});

test('a run that ended a server is kept for minutes, and then expires', () => {
  let now = 0;
  const record = createSuspectRecord(() => now);
  record.put(runOf('a'));
  now = 300_000;
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(1);
  now = 700_000;
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(0);
});

// Guards against a crashing request that its caller sends from several addresses, which count as
// several callers.
test('lost requests of several callers count together, until another caller is served', () => {
  const record = createSuspectRecord(() => 0);
  record.put(runOf('a', { caller: 'c' }));
  record.put(runOf('b', { caller: 'd' }));
  record.put(runOf('c', { caller: 'd' }));
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(3);
  expect(record.crashCountsOf({ ...IDENTITY, caller: 'new' }).lives).toEqual(3);
  record.noteAnswered({ ...IDENTITY, caller: 'new' });
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(1);
  expect(record.crashCountsOf({ ...IDENTITY, caller: 'd' }).lives).toEqual(2);
  expect(record.crashCountsOf({ ...IDENTITY, caller: 'new' }).lives).toEqual(0);
});

// Guards against callers that are refused because of one other caller's requests.
test('lost requests of one caller do not count for another caller with equal requests', () => {
  const record = createSuspectRecord(() => 0);
  for (const server of ['a', 'b', 'c']) record.put(runOf(server, { caller: 'd' }));
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(0);
});

test('runs are returned only after they are announced, and each change only once', () => {
  const record = createSuspectRecord(() => 0);
  const run = runOf('a', { state: 'lost' });
  record.put(run);
  expect(record.since(0)).toEqual([]);
  record.announce();
  const known = record.change();
  expect(record.since(0).map((it) => it.run)).toEqual([run.run]);
  expect(record.since(known)).toEqual([]);
  record.put({ ...run, state: 'ended' });
  expect(record.since(known).map((it) => it.state)).toEqual(['ended']);
});

test('a run that is cleared before it is announced is removed', () => {
  const record = createSuspectRecord(() => 0);
  const run = runOf('a', { state: 'lost' });
  record.put(run);
  record.put({ ...run, state: 'cleared' });
  expect(record.isEmpty()).toEqual(true);
});

test('the record is bounded, and runs that ended servers are evicted last', () => {
  const record = createSuspectRecord(() => 0);
  record.put(runOf('a'));
  record.put(runOf('b'));
  for (let index = 0; index < 5_000; index += 1) {
    record.put(runOf(`s-${index}`, { request: `g-${index}`, state: 'lost' }));
  }
  record.announce();
  expect(record.since(0).length <= 2_000).toEqual(true);
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(2);
});

const runArbitrary = fc.record({
  run: fc.constantFrom('r1', 'r2', 'r3'),
  server: fc.constantFrom('a', 'b'),
  state: fc.constantFrom(...STATES),
  othersServed: fc.boolean(),
});

test('routers that receive the same runs in any order, and more than once, reach the same counts', () => {
  const property = fc.property(
    fc.array(runArbitrary, { maxLength: 12 }),
    fc.array(fc.nat(), { minLength: 24, maxLength: 24 }),
    (changes, order) => {
      // The incarnation of a run never changes.
      const all = changes.map((it) => received(runOf('', { ...it, server: it.run })));
      const shuffled = [...all, ...all]
        .map((it, index) => ({ it, at: order[index] ?? 0 }))
        .sort((a, b) => a.at - b.at)
        .map(({ it }) => it);
      const [first, second] = [createSuspectRecord(() => 0), createSuspectRecord(() => 0)];
      first.merge(all);
      for (const it of shuffled) second.merge([it]);
      expect(second.crashCountsOf(IDENTITY)).toEqual(first.crashCountsOf(IDENTITY));
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('a run is decoded as it was encoded, and joining it with itself changes nothing', () => {
  for (const state of STATES) {
    const run = { ...runOf('a', { state, othersServed: true }), ageMs: 7 };
    const wire = { ...encodeRun(run), $typeName: 'boragepoint.v1.SuspectRun' as const };
    expect(decodeRun(wire)).toEqual(run);
    expect(joinRuns(run, run)).toEqual(run);
  }
});

test('a run that changed twice is returned once, in its latest state', () => {
  const record = createSuspectRecord(() => 0);
  const run = runOf('a', { state: 'lost' });
  record.merge([received(run), received(runOf('b'))]);
  record.merge([received({ ...run, state: 'ended' })]);
  expect(record.since(0).map(({ server, state }) => [server, state])).toEqual([
    ['b', 'ended'],
    ['a', 'ended'],
  ]);
});

// Guards against a full record that is searched for each new run.
test('a full record evicts many runs at once and keeps the strongest evidence', () => {
  const record = createSuspectRecord(() => 0);
  const ended = runOf('ended', { request: 'crashing' });
  record.merge([received(ended)]);
  const lost = (count: number) =>
    runOf(`server-${count}`, { request: `r-${count}`, state: 'lost' });
  for (let count = 0; count < 2_000; count += 1) record.merge([received(lost(count))]);
  const kept = record.since(0);
  expect(kept.length <= 1_800).toEqual(true);
  expect(kept.some((it) => it.run === ended.run)).toEqual(true);
  expect(kept.at(-1)?.server).toEqual('server-1999');
});

// Guards against a run that no message can carry: every later report of the router threw.
test('a run with a start or an age out of range is ignored or bounded', () => {
  const run = { ...runOf('a', { state: 'lost' }), ageMs: 2 ** 32 + 5 };
  const wire = create(SuspectRunSchema, encodeRun(run));
  expect(() => toBinary(SuspectRunSchema, wire)).not.toThrow();
  for (const startedMs of [2n ** 63n - 1n, 2n ** 53n, -1n]) {
    expect(decodeRun({ ...wire, startedMs })).toEqual(undefined);
  }
});

// Guards against a run that is skipped or seen twice because what is learned of it moves it in the record.
test('each loss is visited once, although the visit changes it', () => {
  const record = createSuspectRecord(() => 0);
  for (const server of ['a', 'b', 'c']) record.put(runOf(server, { state: 'lost' }));
  record.put(runOf('d', { state: 'running' }));
  const visited: string[] = [];
  for (const { run } of record.losses()) {
    visited.push(run.server);
    record.put({ ...run, state: 'ended' });
  }
  expect(visited).toEqual(['a', 'b', 'c']);
});

// Guards against messages that grow with the record, and against new losses that wait behind old ones.
test('a batch has the oldest changes, and the newest losses besides', () => {
  const record = createSuspectRecord(() => 0);
  for (let count = 0; count < 10; count += 1) {
    const state = count === 9 ? 'running' : 'lost';
    record.merge([received(runOf(`s-${count}`, { request: `r-${count}`, state }))]);
  }
  const serversOf = (runs: readonly AgedRun[]) => runs.map((it) => it.server);
  const first = record.batchSince(0, 3);
  expect(serversOf(first.runs)).toEqual(['s-0', 's-1', 's-2', 's-6', 's-7', 's-8']);
  expect(first.upTo).toEqual(3);
  expect(record.batchSince(8, 3)).toLooseEqual({ runs: record.since(8), upTo: record.change() });
});
