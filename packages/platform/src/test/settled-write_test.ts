import { test } from 'node:test';

import { expect } from 'earl';
import { err, ok } from 'neverthrow';

import {
  PlatformError,
  type TableRow,
  type TableService,
  type TableWrite,
  settledWrite,
} from '../index.js';

/**
 * What happens to a transaction:
 * - `answered`: it is carried out and answered.
 * - `refused`: an error says that it had no effect.
 * - `lost-before`: it is lost before it is carried out.
 * - `lost-after`: it is carried out, and its answer is lost.
 * - `delayed`: it counts as lost, and is carried out when the test calls `deliverDelayed`.
 * - `hangs-after`: it is carried out and never answered.
 */
type CallFault = 'answered' | 'refused' | 'lost-before' | 'lost-after' | 'delayed' | 'hangs-after';

/** A table whose first transactions have the given faults in turn; later ones are answered. */
function createTable(faults: CallFault[]) {
  const rows = new Map<string, TableRow>();
  const delayed: (readonly TableWrite[])[] = [];

  function apply(writes: readonly TableWrite[]): string[] {
    const stale = writes.filter((it) => (rows.get(it.key)?.version ?? 0) !== it.expectedVersion);
    if (stale.length > 0) return stale.map((it) => it.key);
    for (const { key, expectedVersion, value } of writes) {
      if (value === null) rows.delete(key);
      else if (value !== undefined) rows.set(key, { key, version: expectedVersion + 1, value });
    }
    return [];
  }

  const table: TableService = {
    read: (keys) =>
      Promise.resolve(ok(keys.map((key) => rows.get(key)).filter((row) => row !== undefined))),
    scan: () => Promise.resolve(ok([])),
    transact(writes) {
      const fault = faults.shift() ?? 'answered';
      if (fault === 'refused') return Promise.resolve(err(new PlatformError('refused', false)));
      if (fault === 'delayed') delayed.push(writes);
      const arrives = fault === 'answered' || fault === 'lost-after' || fault === 'hangs-after';
      const conflicts = arrives ? apply(writes) : [];
      if (fault === 'hangs-after') return new Promise(() => undefined);
      if (fault !== 'answered') return Promise.resolve(err(new PlatformError('lost', true)));
      return Promise.resolve(
        ok(conflicts.length === 0 ? { committed: true } : { committed: false, conflicts }),
      );
    },
  };
  const deliverDelayed = () => {
    for (const writes of delayed.splice(0)) apply(writes);
  };
  return { table, rows, apply, deliverDelayed };
}

const writeOf = (key: string, writer: string, expectedVersion = 0): TableWrite => ({
  key,
  expectedVersion,
  value: JSON.stringify({ writer }),
});

const LONG_DEADLINE = { deadlineAt: performance.now() + 10_000, retryDelayMs: 1 };
const PAST_DEADLINE = { deadlineAt: 0 };

for (const fault of ['lost-before', 'lost-after', 'delayed'] as const) {
  test(`a write whose answer was ${fault} takes effect exactly once`, async () => {
    const { table, rows, deliverDelayed } = createTable([fault]);
    const outcome = await settledWrite(table, [writeOf('a', 't1')], 't1', LONG_DEADLINE);
    deliverDelayed();
    expect(outcome).toEqual({ kind: 'committed' });
    expect(rows.get('a')?.version).toEqual(1);
  });
}

test('a write whose answer never comes is settled by a copy', async () => {
  const { table, rows } = createTable(['hangs-after']);
  const options = { ...LONG_DEADLINE, copyAfterMs: 1 };
  const outcome = await settledWrite(table, [writeOf('a', 't1')], 't1', options);
  expect(outcome).toEqual({ kind: 'committed' });
  expect(rows.get('a')?.version).toEqual(1);
});

test('a table that never answers leaves the write unsettled at the deadline', async () => {
  const { table } = createTable(Array<CallFault>(10).fill('hangs-after'));
  const options = { deadlineAt: performance.now() + 20, copyAfterMs: 1 };
  const outcome = await settledWrite(table, [writeOf('a', 't1')], 't1', options);
  expect(outcome.kind).toEqual('unsettled');
});

test('a lost write is a conflict only once it can no longer take effect', async () => {
  const { table, rows, apply, deliverDelayed } = createTable(['delayed']);
  const write = settledWrite(table, [writeOf('a', 't1'), writeOf('b', 't1')], 't1', LONG_DEADLINE);
  apply([writeOf('a', 'other')]);
  const outcome = await write;
  deliverDelayed();
  expect(outcome.kind).toEqual('conflict');
  expect(rows.has('b')).toEqual(false);
});

test('a read-back alone would miss a write that takes effect after it', async () => {
  const { table, rows, deliverDelayed } = createTable(['delayed']);
  await table.transact([writeOf('a', 't1')]);
  const readBack = await table.read(['a']);
  deliverDelayed();
  expect(readBack._unsafeUnwrap()).toEqual([]);
  expect(rows.has('a')).toEqual(true);
});

test('another row of the transaction proves the outcome if one row was overwritten', async () => {
  const { table, apply } = createTable(['lost-after']);
  const write = settledWrite(table, [writeOf('a', 't1'), writeOf('b', 't1')], 't1', LONG_DEADLINE);
  apply([writeOf('a', 'other', 1)]);
  expect(await write).toEqual({ kind: 'committed' });
});

test('a write of a single row that was overwritten stays unsettled', async () => {
  const { table, apply } = createTable(['lost-after']);
  const write = settledWrite(table, [writeOf('a', 't1')], 't1', LONG_DEADLINE);
  apply([writeOf('a', 'other', 1)]);
  expect((await write).kind).toEqual('unsettled');
});

test('a refusal counts as not written only if no earlier copy can take effect', async () => {
  const refused = createTable(['refused']);
  const first = await settledWrite(refused.table, [writeOf('a', 't1')], 't1', PAST_DEADLINE);
  expect(first.kind).toEqual('unavailable');

  const lost = createTable(['lost-before', ...Array<CallFault>(200).fill('refused')]);
  const options = { deadlineAt: performance.now() + 20, retryDelayMs: 1 };
  const second = await settledWrite(lost.table, [writeOf('a', 't1')], 't1', options);
  expect(second.kind).toEqual('unsettled');
});

test('a row that went below its expected version proves nothing about a lost answer', async () => {
  const { table, rows, apply } = createTable(['lost-after']);
  apply([writeOf('a', 'other')]);
  apply([writeOf('a', 'other', 1)]);
  const write = settledWrite(table, [writeOf('a', 't1', 2)], 't1', LONG_DEADLINE);
  rows.set('a', { key: 'a', version: 1, value: '{"writer":"other"}' });
  expect((await write).kind).toEqual('unsettled');
});

// Guards against "did not take effect" for a write that took effect and was forgotten with its table.
test('an untouched row proves nothing when another row went below its expected version', async () => {
  const { table, rows, apply } = createTable(['lost-after']);
  apply([writeOf('b', 'other')]);
  apply([writeOf('b', 'other', 1)]);
  const writes = [writeOf('a', 't1'), writeOf('b', 't1', 2)];
  const write = settledWrite(table, writes, 't1', LONG_DEADLINE);
  rows.delete('a');
  rows.set('b', { key: 'b', version: 1, value: '{"writer":"other"}' });
  expect((await write).kind).toEqual('unsettled');
});
