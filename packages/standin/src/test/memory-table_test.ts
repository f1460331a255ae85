import { test } from 'node:test';

import { expect } from 'earl';

import { createMemoryTable } from '../lib/platform/memory-table.js';

test('a transaction with one stale version writes nothing', () => {
  const table = createMemoryTable();
  table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  const outcome = table.transact([
    { key: 'b', expectedVersion: 0, value: '1' },
    { key: 'a', expectedVersion: 0, value: '2' },
  ]);
  expect(outcome).toEqual({ committed: false, conflicts: ['a'] });
  expect(table.scan('')).toEqual([{ key: 'a', version: 1, value: '1' }]);
});

test('a row inserted after a delete gets a version above its old one', () => {
  const table = createMemoryTable();
  table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  table.transact([{ key: 'a', expectedVersion: 1, value: null }]);
  expect(table.read(['a'])).toEqual([]);
  const outcome = table.transact([{ key: 'a', expectedVersion: 0, value: '2' }]);
  expect(outcome).toEqual({ committed: true });
  expect(table.read(['a'])).toEqual([{ key: 'a', version: 3, value: '2' }]);
});

test('a write without a value only checks the version', () => {
  const table = createMemoryTable();
  table.transact([{ key: 'a', expectedVersion: 0, value: '1' }]);
  table.transact([{ key: 'a', expectedVersion: 1 }]);
  expect(table.read(['a'])).toEqual([{ key: 'a', version: 1, value: '1' }]);
});
