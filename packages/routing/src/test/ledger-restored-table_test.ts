import { test } from 'node:test';

import { RESULT_CODES } from '@boragepoint/config';
import { PlatformError } from '@boragepoint/platform';
import { expect } from 'earl';
import { err } from 'neverthrow';

import type { DispatchOutcome } from '../index.js';
import { intentRowKey } from '../lib/ledger/intent-record.js';
import { SERVICE, createFixture, eventually } from './ledger-fixture.js';
import { createRestorableTable } from './restorable-table.js';

const { outcomeUnknown, ownerUnreachable } = RESULT_CODES;
const NEVER = new Promise<never>(() => undefined);

/** Two keepers that share a table that can come back from an earlier copy. */
function createSetup() {
  const fixture = createFixture();
  const table = createRestorableTable();
  const first = fixture.keeper('first', { table });
  const second = fixture.keeper('second', { table });
  /** Returns a dispatch of the payment `k` after which the table comes back from a copy. */
  const runThenRestore = (restore: () => void) => (): Promise<DispatchOutcome> => {
    const answer = fixture.runAtServer('k');
    restore();
    return Promise.resolve(answer);
  };
  return { ...fixture, table, first, second, runThenRestore };
}

// The outcome was dropped when its row was gone, so that a repeat elsewhere ran a second time.
test('a payment whose intent the table forgot while it ran is recorded when it ends', async () => {
  const { table, first, second, send, runThenRestore, runsOf } = createSetup();
  const restore = await table.takeCopy();
  expect(await send(first, 'k', runThenRestore(restore))).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  expect(await send(second, 'k')).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

// An earlier "not run" that came back was taken as a later record and left in place.
test('a payment is recorded over an earlier "not run" that came back', async () => {
  const { table, first, second, send, runThenRestore, runsOf } = createSetup();
  const refuse = (): Promise<DispatchOutcome> =>
    Promise.resolve({ kind: 'not-run', reason: 'refused', mayRetry: false });
  expect(await send(first, 'k', refuse)).toEqual(ownerUnreachable);
  await eventually(() => first.stats().unrecorded === 0);
  const restore = await table.takeCopy();
  expect(await send(first, 'k', runThenRestore(restore))).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  expect(await send(second, 'k')).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

// An answer that was recorded and then forgotten was not written again by those who knew it.
test('an answer that the table forgot is written again by the keeper that recorded it', async () => {
  const { table, first, second, send, runsOf } = createSetup();
  const restore = await table.takeCopy();
  expect(await send(first, 'k')).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  restore();
  await eventually(() => first.stats().recordsRestored === 1);
  expect(await send(second, 'k')).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

// A forgotten intent of a payment in progress let another keeper run it meanwhile.
test('an intent that the table forgot is written again while its payment runs', async () => {
  const { table, first, second, send, runsOf } = createSetup();
  const restore = await table.takeCopy();
  let dispatched = false;
  void send(first, 'k', () => {
    dispatched = true;
    return NEVER;
  });
  await eventually(() => dispatched);
  restore();
  await eventually(() => first.stats().recordsRestored === 1);
  expect(await send(second, 'k')).toEqual(outcomeUnknown);
  expect(runsOf('k')).toEqual(0);
});

test('the keeper that ran a payment answers its repeat although the table forgot it', async () => {
  const { table, first, send, runsOf } = createSetup();
  const restore = await table.takeCopy();
  expect(await send(first, 'k')).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  restore();
  expect(await send(first, 'k')).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

// Not promised: shows what a repeat does when nobody who knows the payment is left.
test('a payment that the table forgot and whose keeper is lost runs again', async () => {
  const { table, first, second, send, runsOf } = createSetup();
  const restore = await table.takeCopy();
  expect(await send(first, 'k')).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  await first[Symbol.asyncDispose]();
  restore();
  expect(await send(second, 'k')).toEqual('answered');
  expect(runsOf('k')).toEqual(2);
});

// Newer records at the table hid that those before them were gone.
test('a loss is found although newer records were written after the return', async () => {
  const { table, first, second, send, runsOf } = createSetup();
  await send(first, 'before');
  const restore = await table.takeCopy();
  expect(await send(first, 'k')).toEqual('answered');
  await eventually(() => first.stats().unrecorded === 0);
  restore();
  await send(first, 'after');
  await eventually(() => first.stats().recordsRestored > 0);
  await eventually(
    async () => (await table.read([intentRowKey(SERVICE, 'k')]))._unsafeUnwrap().length > 0,
  );
  expect(await send(second, 'k')).toEqual('replayed');
  expect(runsOf('k')).toEqual(1);
});

// Not promised: a repeat elsewhere that comes before the check runs again; it is counted.
test('a payment that ran again after its record was forgotten is counted', async () => {
  const { table, keeper, second, send, runsOf } = createSetup();
  let isReadable = true;
  const unreadable = Promise.resolve(err(new PlatformError('unreadable', false)));
  const ledger = keeper('third', {
    table: { ...table, read: (keys) => (isReadable ? table.read(keys) : unreadable) },
  });
  const restore = await table.takeCopy();
  expect(await send(ledger, 'k')).toEqual('answered');
  await eventually(() => ledger.stats().unrecorded === 0);
  isReadable = false;
  restore();
  expect(await send(second, 'k')).toEqual('answered');
  isReadable = true;
  await eventually(() => ledger.stats().recordsForgotten === 1);
  expect(ledger.stats().recordsRestored).toEqual(0);
  expect(runsOf('k')).toEqual(2);
});

test('checks of a table that forgot nothing write nothing', async () => {
  const { table, keeper, send } = createSetup();
  let reads = 0;
  const counting = {
    ...table,
    read: (keys: readonly string[]) => {
      reads += 1;
      return table.read(keys);
    },
  };
  const ledger = keeper('third', { table: counting });
  await send(ledger, 'k');
  await eventually(() => ledger.stats().unrecorded === 0);
  const { transactions } = ledger.stats();
  const readsBefore = reads;
  await eventually(() => reads >= readsBefore + 3);
  expect(ledger.stats().transactions).toEqual(transactions);
  expect(ledger.stats().recordsRestored).toEqual(0);
});
