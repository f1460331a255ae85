import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';

/** A row of the table service. Versions rise by one with each write and start at 1. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** One part of a transaction. */
export interface TableWrite {
  readonly key: string;
  /** Version that the row must have; 0 when it must not exist. */
  readonly expectedVersion: number;
  /** New JSON text, `null` to delete the row, or `undefined` to check the version only. */
  readonly value?: string | null;
}

/** Outcome of a transaction whose answer arrived. */
export type TransactOutcome =
  | { readonly committed: true }
  /** Nothing was written; the rows named here had other versions. */
  | { readonly committed: false; readonly conflicts: readonly string[] };

/** A transactional table service. A write takes effect whole or not at all. */
export interface TableService {
  /** Reads rows by key; rows that do not exist are left out. */
  read(keys: readonly string[]): Promise<Result<TableRow[], PlatformError>>;
  /** Reads all rows whose key starts with the prefix, in the order of their keys. */
  scan(prefix: string): Promise<Result<TableRow[], PlatformError>>;
  /**
   * Writes rows in one transaction. An error with `mayHaveTakenEffect` leaves the outcome open:
   * read a writer token back to settle it.
   */
  transact(writes: readonly TableWrite[]): Promise<Result<TransactOutcome, PlatformError>>;
}
