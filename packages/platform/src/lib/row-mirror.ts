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

/** What became of a table since a version, for whoever knows it as of that version. */
export interface RowUpdate {
  /** Version of the store that it includes. */
  readonly version: number;
  /** Rows that were written since. */
  readonly changed: readonly StoredRow[];
  /** Keys of the rows that were removed since. */
  readonly removed: readonly string[];
}

/** A source of what became of a table, besides the store. */
export interface RowSource {
  /** Returns `undefined` without an answer, and if nothing newer is known. */
  rowsSince(table: string, version: number): Promise<RowDelta | undefined>;
}

/** Most removals that are remembered; the oldest go first. */
const MAX_REMOVALS = 2_000;

/** A copy of a table as a watch knows it. */
export interface RowMirror {
  put(row: StoredRow): void;
  /** Removes a row that the store no longer has as of a version. */
  remove(key: string, version: number): void;
  /** Some rows that came and went before a version may never have been seen. */
  noteGap(version: number): void;
  has(key: string): boolean;
  keys(): readonly string[];
  /** The copy's state after a version. */
  deltaSince(version: number): Omit<RowDelta, 'version'>;
  /** What became of the copy after a version; `undefined` if removals after it may not be remembered. */
  updateSince(version: number): Omit<RowUpdate, 'version'> | undefined;
}

/** Creates an empty copy. */
export function createRowMirror(): RowMirror {
  const rows = new Map<string, StoredRow>();
  /** Versions by which rows had been removed, in the order of their removal. */
  const removals = new Map<string, number>();
  /** Version from which on all removals are remembered. */
  let completeFrom = 0;

  function changedSince(version: number): StoredRow[] {
    return [...rows.values()].filter((it) => it.version > version);
  }

  function forgetOldRemovals(): void {
    for (const [key, version] of removals) {
      if (removals.size <= MAX_REMOVALS) return;
      removals.delete(key);
      completeFrom = Math.max(completeFrom, version);
    }
  }

  return {
    put(row) {
      removals.delete(row.key);
      rows.set(row.key, row);
    },
    remove(key, version) {
      if (!rows.delete(key)) return;
      removals.set(key, version);
      forgetOldRemovals();
    },
    noteGap(version) {
      removals.clear();
      completeFrom = version;
    },
    has: (key) => rows.has(key),
    keys: () => [...rows.keys()],
    deltaSince: (version) => ({
      changed: changedSince(version),
      keys: [...rows.keys()],
    }),
    updateSince(version) {
      if (version < completeFrom) return undefined;
      const removed = [...removals].filter(([, at]) => at > version).map(([key]) => key);
      return { changed: changedSince(version), removed };
    },
  };
}
