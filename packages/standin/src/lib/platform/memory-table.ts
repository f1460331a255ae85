import type { TableRow, TableWrite, TransactOutcome } from '@boragepoint/platform';

interface StoredRow {
  readonly version: number;
  /** `null` marks a deleted row; its version is kept, and the next insert increments it. */
  readonly value: string | null;
}

/**
 * An in-memory table. Transactions are atomic, and a key's versions only increase unless the table is
 * brought back from a copy.
 */
export interface MemoryTable {
  read(keys: readonly string[]): TableRow[];
  scan(prefix: string): TableRow[];
  transact(writes: readonly TableWrite[]): TransactOutcome;
  /**
   * Takes a copy; the function returned brings the table back from it. Later writes are lost then,
   * and their versions are given out again.
   */
  takeCopy(): () => void;
}

/** Creates an empty in-memory table. */
export function createMemoryTable(): MemoryTable {
  const rows = new Map<string, StoredRow>();

  function rowOf(key: string): TableRow[] {
    const row = rows.get(key);
    if (row?.value == null) return [];
    return [{ key, version: row.version, value: row.value }];
  }

  function liveVersion(key: string): number {
    return rowOf(key)[0]?.version ?? 0;
  }

  function write({ key, value }: TableWrite): void {
    if (value === undefined) return;
    const version = (rows.get(key)?.version ?? 0) + 1;
    rows.set(key, { version, value });
  }

  return {
    read: (keys) => keys.flatMap(rowOf),
    scan(prefix) {
      const keys = [...rows.keys()].filter((key) => key.startsWith(prefix));
      return keys.sort().flatMap(rowOf);
    },
    transact(writes) {
      const stale = writes.filter((it) => liveVersion(it.key) !== it.expectedVersion);
      if (stale.length > 0) return { committed: false, conflicts: stale.map((it) => it.key) };
      writes.forEach(write);
      return { committed: true };
    },
    takeCopy() {
      const copy = [...rows];
      return () => {
        rows.clear();
        for (const [key, row] of copy) rows.set(key, row);
      };
    },
  };
}
