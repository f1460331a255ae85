import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';

/** A row of the table service. Its version starts at 1 and increases by one with each write. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** One write or version check of a transaction. */
export interface TableWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  /** New JSON text, `null` to delete the row, or `undefined` to check only its version. */
  readonly value?: string | null;
}

/** Outcome of a transaction whose answer arrived. */
export type TransactOutcome =
  | { readonly committed: true }
  /** Nothing was written, since the rows with these keys had other versions. */
  | { readonly committed: false; readonly conflicts: readonly string[] };

/** A transactional table service. A transaction takes effect completely or not at all. */
export interface TableService {
  /** Reads rows by key; rows that do not exist are left out. */
  read(keys: readonly string[]): Promise<Result<TableRow[], PlatformError>>;
  /** Reads all rows whose key starts with the prefix, in key order. */
  scan(prefix: string): Promise<Result<TableRow[], PlatformError>>;
  /**
   * Writes rows in one transaction. After an error with `mayHaveTakenEffect` the outcome is
   * unknown; `settledWrite` determines it.
   */
  transact(writes: readonly TableWrite[]): Promise<Result<TransactOutcome, PlatformError>>;
}
