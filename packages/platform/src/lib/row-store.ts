import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';
import type { UnusableEntry } from './unusable-entries.js';

/** A row of a {@link RowStore}. */
export interface StoredRow {
  readonly key: string;
  /** Version of the store at which the row was written; increases with every change of any row. */
  readonly version: number;
  readonly value: Uint8Array;
}

/** All rows of a table at one point in time. */
export interface RowSnapshot {
  readonly rows: readonly StoredRow[];
  /** Version of the store up to which the rows include all changes. */
  readonly version: number;
  /** Time of the store's monotonic clock, in milliseconds. */
  readonly nowMs: number;
}

/** A row that was written or, without a value, removed. */
export type RowChange =
  StoredRow | { readonly key: string; readonly version: number; readonly removed: true };

/** Changes of a table, in the order in which they were made. */
export type RowChanges =
  | { readonly kind: 'changes'; readonly changes: readonly RowChange[]; readonly version: number }
  /**
   * The store no longer has all changes after the requested version: the table has to be read
   * again.
   */
  | { readonly kind: 'history-lost' };

/** Outcome of a conditional write whose answer arrived. */
export type PutOutcome =
  | { readonly kind: 'committed'; readonly version: number; readonly nowMs: number }
  /**
   * The row has another version; nothing was written. `current` is undefined if there is no row.
   */
  | { readonly kind: 'conflict'; readonly current: StoredRow | undefined };

/** A linearizable store of rows in tables, with conditional writes and watches. */
export interface RowStore {
  /** Sets the listener that is called with each answer of which a part can't be used. */
  onUnusable?(listener: (entry: UnusableEntry) => void): void;
  /** Reads all rows of a table. */
  list(table: string): Promise<Result<RowSnapshot, PlatformError>>;
  /** Waits up to `waitMs` milliseconds for changes after a version, or until the signal aborts. */
  changesAfter(
    table: string,
    version: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<RowChanges, PlatformError>>;
  /**
   * Writes a row if it has the expected version; 0 means that it must not exist. After an error
   * with `mayHaveTakenEffect` the write may still take effect later, as long as its condition
   * holds.
   */
  put(
    table: string,
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): Promise<Result<PutOutcome, PlatformError>>;
}
