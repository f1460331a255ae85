import { test } from 'node:test';

import { RESULT_CODES } from '@boragepoint/config';
import type { TableService, TableWrite } from '@boragepoint/platform';
import { expect } from 'earl';
import { ok } from 'neverthrow';

import { type DispatchOutcome, createSweeper } from '../index.js';
import { createFaultyTable, createDisconnectableTable } from './faulty-table.js';
import { SERVICE, createFixture, eventually } from './ledger-fixture.js';

const { outcomeUnknown } = RESULT_CODES;
const NEVER = new Promise<never>(() => undefined);
const LOST_DEADLINE_MS = 1_000;
const YEAR_MS = 31_536_000_000;

/** Steps at which a keeper is lost, with the result of a repeat at another keeper. */
const LOSSES = [
  { at: 'before the intent', repeat: 'answered', runs: 1 },
  { at: 'after the intent', repeat: outcomeUnknown, runs: 0 },
  { at: 'after the dispatch', repeat: outcomeUnknown, runs: 1 },
  { at: 'after the answer', repeat: outcomeUnknown, runs: 1 },
  { at: 'after the record', repeat: 'replayed', runs: 1 },
] as const;

/** Disconnects a keeper from the table at a step and repeats its request at another keeper. */
async function loseKeeper(
  at: (typeof LOSSES)[number]['at'],
  wrap: (table: TableService) => TableService = (table) => table,
) {
  const fixture = createFixture();
  const table = createDisconnectableTable(wrap(fixture.table));
  const lost = fixture.keeper('lost', { table });
  let reached!: () => void;
  const atLoss = new Promise<void>((resolve) => (reached = resolve));
  const dispatch = (): Promise<DispatchOutcome> => {
    if (at === 'after the intent') {
      table.disconnect();
      reached();
      return NEVER;
    }
    const answer = fixture.runAtServer('k');
    if (at !== 'after the record') table.disconnect();
    if (at === 'after the dispatch') reached();
    return at === 'after the dispatch' ? NEVER : Promise.resolve(answer);
  };
  if (at === 'before the intent') table.disconnect();
  const deadlineAt = performance.now() + LOST_DEADLINE_MS;
  const seen = fixture.send(lost, 'k', dispatch, { deadlineAt });
  void seen.then(reached);
  await atLoss;
  await eventually(() => at !== 'after the record' || lost.stats().unrecorded === 0);
  const repeat = await fixture.send(fixture.keeper('next'), 'k');
  return { repeat, runs: fixture.runsOf('k') };
}

for (const { at, repeat, runs } of LOSSES) {
  test(`a keeper lost ${at} never leads to a second run`, async () => {
    expect(await loseKeeper(at)).toEqual({ repeat, runs });
  });
}

test('without a recorded intent, the repeat runs the request a second time', async () => {
  const dropIntents = (table: TableService): TableService => ({
    ...table,
    transact: () => Promise.resolve(ok({ committed: true })),
  });
  const { runs } = await loseKeeper('after the answer', dropIntents);
  expect(runs).toEqual(2);
});

/** Replaces the record "not run" by a removal of the row, of which a copy arrives later. */
function removeInsteadOfMark(table: TableService) {
  const delayedWrites: (readonly TableWrite[])[] = [];
  const removing: TableService = {
    ...table,
    async transact(writes) {
      const changed = writes.map((write) =>
        write.value?.includes('"not-run"') === true ? { ...write, value: null } : write,
      );
      const isRemoval = changed.some((write) => write.value === null);
      if (!isRemoval) return table.transact(writes);
      const outcome = await table.transact(changed);
      delayedWrites.push(changed);
      return outcome;
    },
  };
  const deliverDelayed = async () => {
    for (const writes of delayedWrites) await table.transact(writes);
  };
  return { ...removing, deliverDelayed };
}

/** Runs a request again after it provably did not run, then delivers delayed copies of writes. */
async function runAfterNotRun(
  wrap: (table: TableService) => ReturnType<typeof removeInsteadOfMark>,
) {
  const fixture = createFixture();
  const table = wrap(fixture.table);
  const first = fixture.keeper('first', { table });
  const notRun: DispatchOutcome = { kind: 'not-run', reason: 'refused', mayRetry: false };
  await fixture.send(first, 'k', () => Promise.resolve(notRun));
  await eventually(() => first.stats().unrecorded === 0);
  const second = fixture.keeper('second');
  const begun = await second.begin({
    service: SERVICE,
    idempotencyKey: 'k',
    fingerprint: 'f',
    deadlineAt: performance.now() + LOST_DEADLINE_MS,
  });
  expect(begun.kind).toEqual('started');
  fixture.runAtServer('k');
  await table.deliverDelayed();
  await fixture.send(fixture.keeper('third'), 'k');
  return fixture.runsOf('k');
}

test('a delayed copy of the record "not run" does not affect the next run', async () => {
  const delayCopies = (table: TableService) => {
    const delayedWrites: (readonly TableWrite[])[] = [];
    const transact = (writes: readonly TableWrite[]) => {
      delayedWrites.push(writes);
      return table.transact(writes);
    };
    const deliverDelayed = async () => {
      for (const writes of delayedWrites) await table.transact(writes);
    };
    return { ...table, transact, deliverDelayed };
  };
  expect(await runAfterNotRun(delayCopies)).toEqual(1);
});

test('if the row is removed instead of marked, a delayed copy lets the request run twice', async () => {
  expect(await runAfterNotRun(removeInsteadOfMark)).toEqual(2);
});

const NEXT_YEAR = { now: () => performance.now(), wallNow: () => Date.now() + YEAR_MS };

function createNextYearSweeper(fixture: ReturnType<typeof createFixture>, table: TableService) {
  return createSweeper({
    table,
    objects: fixture.objects,
    incarnation: `sweeper-${Math.trunc(performance.now() * 1000)}`,
    services: () => [],
    isResponsibleFor: () => true,
    clock: NEXT_YEAR,
    config: { settleMs: 1 },
  });
}

/**
 * Sweeps an expired record through one router whose removal is delayed and through another one,
 * uses the key again and then delivers the delayed removal. Returns the result of a repeat.
 */
async function sweepWithDelayedRemoval(hasFence: boolean) {
  const fixture = createFixture();
  const first = fixture.keeper('first');
  const answerLarge = (): Promise<DispatchOutcome> => {
    fixture.runAtServer('k');
    const body = new Uint8Array(20_000);
    return Promise.resolve({ kind: 'answered', status: 200, headers: [], body });
  };
  await fixture.send(first, 'k', answerLarge);
  await eventually(() => first.stats().unrecorded === 0);
  const slow = createFaultyTable(fixture.table, () => 'delayed');
  await fixture.send(fixture.keeper('next-year', { clock: NEXT_YEAR }), 'other');
  const withoutFence: TableService = {
    ...slow,
    transact: (writes) => slow.transact(writes.filter((it) => it.value === null)),
  };
  await createNextYearSweeper(fixture, hasFence ? slow : withoutFence).sweep(SERVICE, '');
  const swept = await createNextYearSweeper(fixture, fixture.table).sweep(SERVICE, '');
  expect(swept).toEqual(1);
  expect(fixture.objects.stored.size).toEqual(0);
  const second = fixture.keeper('second');
  expect(await fixture.send(second, 'k', answerLarge)).toEqual('answered');
  await eventually(() => second.stats().unrecorded === 0);
  await slow.deliverDelayed();
  return fixture.send(fixture.keeper('third'), 'k');
}

test('a delayed removal of an expired record does not remove the next record of its key', async () => {
  expect(await sweepWithDelayedRemoval(true)).toEqual('replayed');
});

test('without the fence row, a delayed removal removes the next record', async () => {
  expect(await sweepWithDelayedRemoval(false)).toEqual('answered');
});

test('a sweeper removes nothing if only its own clock is ahead', async () => {
  const fixture = createFixture();
  await fixture.send(fixture.keeper('first'), 'k');
  expect(await createNextYearSweeper(fixture, fixture.table).sweep(SERVICE, '')).toEqual(0);
});
