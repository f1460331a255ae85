import type { TableService } from '@boragepoint/platform';

import { createMemoryTable } from '../lib/ledger/memory-table.js';

/** Returns a table with the same rows, values and versions. */
async function copyOf(table: TableService): Promise<TableService> {
  const copy = createMemoryTable();
  for (const { key, version, value } of (await table.scan(''))._unsafeUnwrap()) {
    for (let expectedVersion = 0; expectedVersion < version; expectedVersion += 1) {
      await copy.transact([{ key, expectedVersion, value }]);
    }
  }
  return copy;
}

/**
 * Creates a table that can come back from an earlier copy of itself: later writes are lost, and
 * their versions are given out again.
 */
export function createRestorableTable() {
  let current: TableService = createMemoryTable();
  return {
    read: (keys) => current.read(keys),
    scan: (prefix) => current.scan(prefix),
    transact: (writes) => current.transact(writes),
    /** Takes a copy; the function returned brings the table back from it. */
    async takeCopy() {
      const copy = await copyOf(current);
      return () => {
        current = copy;
      };
    },
  } satisfies TableService & { takeCopy(): Promise<() => void> };
}
