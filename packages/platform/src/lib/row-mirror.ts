import type { StoredRow } from './row-store.js';

/** State of a table relative to a version: the rows written after it, and the keys of all rows. */
export interface RowDelta {
  /** Version of the store up to which it is complete. */
  readonly version: number;
  /** Rows that were written since. */
  readonly changed: readonly StoredRow[];
  /** Keys of all rows of the table. */
  readonly keys: readonly string[];
}

/** Changes of a table since a version, for a reader that knows the table as of that version. */
export interface RowUpdate {
  /** Version of the store up to which it is complete. */
  readonly version: number;
  /** Rows that were written since. */
  readonly changed: readonly StoredRow[];
  /** Keys of the rows that were removed since. */
  readonly removed: readonly string[];
}

/** A source of a table's rows other than the store. */
export interface RowSource {
  /** Returns `undefined` if the source does not answer or knows nothing newer than `version`. */
  rowsSince(table: string, version: number): Promise<RowDelta | undefined>;
}

/** Maximum number of removals that are remembered; the oldest are forgotten first. */
const MAX_REMOVALS = 2_000;

/** A local copy of a table, kept by a watch. */
export interface RowMirror {
  put(row: StoredRow): void;
  /** Removes a row that the store no longer has at the given version. */
  remove(key: string, version: number): void;
  /**
   * Notes that rows may have been written and removed before `version` without having been seen
   * here.
   */
  noteGap(version: number): void;
  has(key: string): boolean;
  keys(): readonly string[];
  /** Rows that changed after a version, and the keys of all rows. */
  deltaSince(version: number): Omit<RowDelta, 'version'>;
  /**
   * Changes after a version; `undefined` if some removals after it may have been missed or
   * forgotten.
   */
  updateSince(version: number): Omit<RowUpdate, 'version'> | undefined;
}

/** Creates an empty copy of a table. */
export function createRowMirror(): RowMirror {
  const rows = new Map<string, StoredRow>();
  /** Keys of removed rows with the version at which each was gone, in the order of removal. */
  const removals = new Map<string, number>();
  /** All removals after this version are remembered. */
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
