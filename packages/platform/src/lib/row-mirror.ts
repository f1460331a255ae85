import type { StoredRow } from './row-store.js';

/** What became of a table since a version. */
export interface RowDelta {
  /** Version of the store that it includes. */
  readonly version: number;
  /** Rows that were written since. */
  readonly changed: readonly StoredRow[];
  /** Keys of all rows that there are. */
  readonly keys: readonly string[];
}

/** A source of what became of a table, besides the store. */
export interface RowSource {
  /** Returns `undefined` without an answer, and if nothing newer is known. */
  rowsSince(table: string, version: number): Promise<RowDelta | undefined>;
}

/** A copy of a table as a watch knows it. */
export interface RowMirror {
  put(row: StoredRow): void;
  remove(key: string): void;
  has(key: string): boolean;
  keys(): readonly string[];
  /** The copy's state after a version. */
  since(version: number): Omit<RowDelta, 'version'>;
}

/** Creates an empty copy. */
export function createRowMirror(): RowMirror {
  const rows = new Map<string, StoredRow>();
  return {
    put(row) {
      rows.set(row.key, row);
    },
    remove(key) {
      rows.delete(key);
    },
    has: (key) => rows.has(key),
    keys: () => [...rows.keys()],
    since: (version) => ({
      changed: [...rows.values()].filter((it) => it.version > version),
      keys: [...rows.keys()],
    }),
  };
}
