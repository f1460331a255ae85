import { test } from 'node:test';

import { expect } from 'earl';

import { createKeyHasher } from '../lib/key-hash.js';
import { createRowStore } from '../lib/row-store.js';
import { createRowWriter } from '../lib/row-writer.js';
import { FakeTable } from './fake-table.js';

const KEY = 'keeper/s1';
const NEVER_ABORTED = new AbortController().signal;

function keeperValue(epoch: number) {
  const acting = { router: 'r1', incarnation: 'i1', epoch };
  return { service: 'svc', acting, nextEpoch: epoch + 1 };
}

async function createSetup() {
  const badRows: string[] = [];
  const rows = createRowStore(await createKeyHasher(), (key) => badRows.push(key));
  const table = new FakeTable();
  return { badRows, rows, table, writer: createRowWriter(table, rows) };
}

test('a row that is not newer than the stored one is refused and changes nothing', async () => {
  const { rows, table } = await createSetup();
  const first = table.put(KEY, keeperValue(1));
  const second = table.put(KEY, keeperValue(5));
  expect(rows.offer(second)).toEqual(true);
  const digest = rows.digest();
  expect(rows.offer(first)).toEqual(false);
  expect(rows.offer({ ...second, value: first.value })).toEqual(false);
  expect(rows.keeper(KEY)?.value.acting.epoch).toEqual(5);
  expect(rows.digest()).toEqual(digest);
});

test('malformed rows are refused and reported, and the stored row stays', async () => {
  const { badRows, rows, table } = await createSetup();
  rows.offer(table.put(KEY, keeperValue(1)));
  expect(rows.offer({ key: KEY, version: 2, value: '{' })).toEqual(false);
  expect(rows.offer({ key: KEY, version: 2, value: '{"writer":"w"}' })).toEqual(false);
  expect(rows.offer({ key: 'intent/svc/1', version: 1, value: '{}' })).toEqual(false);
  expect(badRows).toEqual([KEY, KEY, 'intent/svc/1']);
  expect(rows.keeper(KEY)?.version).toEqual(1);
  expect(rows.offer(table.put(KEY, keeperValue(3)))).toEqual(true);
});

test('a write whose answer is lost takes effect once and counts as written', async () => {
  const { rows, table, writer } = await createSetup();
  table.mode = 'lost-answer';
  const change = { key: KEY, expectedVersion: 0, value: keeperValue(1) };
  expect((await writer.write([change], NEVER_ABORTED)).isOk()).toEqual(true);
  expect(table.rows.get(KEY)?.version).toEqual(1);
  expect(rows.keeper(KEY)?.value.acting.epoch).toEqual(1);
});

test('a write over a row of another writer is a conflict, and that row is stored', async () => {
  const { rows, table, writer } = await createSetup();
  table.put(KEY, keeperValue(7));
  const change = { key: KEY, expectedVersion: 0, value: keeperValue(1) };
  const written = await writer.write([change], NEVER_ABORTED);
  expect(written.isErr() && written.error.reason).toEqual('conflict');
  expect(rows.keeper(KEY)?.value.acting.epoch).toEqual(7);
});

test('a write ends when its signal aborts while the table is down', async () => {
  const { rows, table, writer } = await createSetup();
  table.mode = 'down';
  const giveUp = new AbortController();
  const change = { key: KEY, expectedVersion: 0, value: keeperValue(1) };
  const writing = writer.write([change], giveUp.signal);
  giveUp.abort();
  const written = await writing;
  expect(written.isErr() && written.error.reason).toEqual('given-up');
  expect(rows.keeper(KEY)).toEqual(undefined);
});
