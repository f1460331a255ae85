import { test } from 'node:test';

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

test('runs of equal requests are counted once for each life, whoever tells them', () => {
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

test('a run that ended a server is remembered for minutes, and not for ever', () => {
  let now = 0;
  const record = createSuspectRecord(() => now);
  record.put(runOf('a'));
  now = 300_000;
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(1);
  now = 700_000;
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(0);
});

// Guards against a deadly request that its caller sends from several addresses.
test('requests that were lost under several callers count together, until another caller is served', () => {
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

// Guards against callers that are barred for what one other caller's requests did.
test('what one caller lost is not held against another one that asks the same', () => {
  const record = createSuspectRecord(() => 0);
  for (const server of ['a', 'b', 'c']) record.put(runOf(server, { caller: 'd' }));
  expect(record.crashCountsOf(IDENTITY).lives).toEqual(0);
});

test('nothing is told before it is announced, and each change only once', () => {
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

test('a run that was cleared before anybody heard of it leaves no trace', () => {
  const record = createSuspectRecord(() => 0);
  const run = runOf('a', { state: 'lost' });
  record.put(run);
  record.put({ ...run, state: 'cleared' });
  expect(record.isEmpty()).toEqual(true);
});

test('the record stays bounded, and runs that ended servers stay longest', () => {
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

test('routers that were told the same in any order, and more than once, agree', () => {
  const property = fc.property(
    fc.array(runArbitrary, { maxLength: 12 }),
    fc.array(fc.nat(), { minLength: 24, maxLength: 24 }),
    (changes, order) => {
      // The life is part of what a run is and never changes.
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

test('a run survives the wire, and joining it with itself changes nothing', () => {
  for (const state of STATES) {
    const run = { ...runOf('a', { state, othersServed: true }), ageMs: 7 };
    const wire = { ...encodeRun(run), $typeName: 'boragepoint.v1.SuspectRun' as const };
    expect(decodeRun(wire)).toEqual(run);
    expect(joinRuns(run, run)).toEqual(run);
  }
});

test('what changed again is told once, as it is now', () => {
  const record = createSuspectRecord(() => 0);
  const run = runOf('a', { state: 'lost' });
  record.merge([received(run), received(runOf('b'))]);
  record.merge([received({ ...run, state: 'ended' })]);
  expect(record.since(0).map(({ server, state }) => [server, state])).toEqual([
    ['b', 'ended'],
    ['a', 'ended'],
  ]);
});

// Guards against a full record in which each further run looks at all others.
test('a full record makes room for many runs at once and keeps those that prove most', () => {
  const record = createSuspectRecord(() => 0);
  const ended = runOf('ended', { request: 'deadly' });
  record.merge([received(ended)]);
  const lost = (count: number) =>
    runOf(`server-${count}`, { request: `r-${count}`, state: 'lost' });
  for (let count = 0; count < 2_000; count += 1) record.merge([received(lost(count))]);
  const held = record.since(0);
  expect(held.length <= 1_800).toEqual(true);
  expect(held.some((it) => it.run === ended.run)).toEqual(true);
  expect(held.at(-1)?.server).toEqual('server-1999');
});
