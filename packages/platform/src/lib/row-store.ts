import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';
import type { UnusableEntry } from './unusable-entries.js';

/** A row of a {@link RowStore}. */
export interface StoredRow {
  readonly key: string;
  /**
   * Version of the store at which the row was written; increases with every change of any row. The
   * versions of a later era are above those of all earlier ones; see {@link inEra}.
   */
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
   * The store no longer has all changes after the requested version, or the version is of an
   * earlier era: the table has to be read again.
   */
  | { readonly kind: 'history-lost' };

/** Outcome of a conditional write whose answer arrived. */
export type PutOutcome =
  | { readonly kind: 'committed'; readonly version: number; readonly nowMs: number }
  /**
   * The row has another version; nothing was written. `current` is undefined if there is no row.
   */
  | { readonly kind: 'conflict'; readonly current: StoredRow | undefined }
  /**
   * The store has come back from an older copy since the expected version was read. Whatever was
   * written has no meaning in the era of the answer.
   */
  | { readonly kind: 'other-era'; readonly era: number; readonly nowMs: number };

/** The first answer of the store in a new era. */
export interface EraChange {
  readonly era: number;
  /** The newest era that was known before; `undefined` if this is the first answer. */
  readonly previous: number | undefined;
  /** The call that was answered. */
  readonly call: string;
}

/**
 * A linearizable store of rows in tables, with conditional writes and watches. It may come back
 * from an older copy; an answer of an earlier era that arrives after one of a later era is an error.
 */
export interface RowStore {
  /** Adds a listener that is called with the first answer of each era. */
  onEra(listener: (change: EraChange) => void): void;
  /** Sets the listener that is called with each answer of which a part can't be used. */
  onUnusable?(listener: (entry: UnusableEntry) => void): void;
  /** Reads all rows of a table. */
  list(table: string): Promise<Result<RowSnapshot, PlatformError>>;
  /**
   * Waits up to `waitMs` milliseconds for changes after a version, or until the signal aborts. An
   * answer that has begun to arrive by then is read to its end: large changes take long on slow
   * links, and would have to be sent again from the start.
   */
  changesAfter(
    table: string,
    version: number,
    waitMs: number,
    waitSignal?: AbortSignal,
  ): Promise<Result<RowChanges, PlatformError>>;
  /**
   * Writes a row if it has the expected version; the number 0 of an era means that it must not
   * exist. After an error with `mayHaveTakenEffect` the write may still take effect later, as long
   * as its condition holds: also in a later era, in which the row's version may be the expected one
   * by chance. A key that names the era prevents that.
   */
  put(
    table: string,
    key: string,
    value: Uint8Array,
    expectedVersion: number,
  ): Promise<Result<PutOutcome, PlatformError>>;
}
