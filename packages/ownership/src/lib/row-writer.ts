import type { TableService, TableWrite } from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';
import { v4 as newToken } from 'uuid';

import { pause } from './pause.js';
import type { RowStore } from './row-store.js';

/** Time between two tries of a write whose outcome is open. */
const RETRY_EVERY_MS = 50;

/** A change to one row: the new value without its writer token, or a check of its version. */
export interface RowChange {
  readonly key: string;
  /** 0 when the row must not exist yet. */
  readonly expectedVersion: number;
  /** Left out when only the version is checked. */
  readonly value?: object;
}

/** Why a write did not take effect. */
export class RowWriteError extends Error {
  override readonly name = 'RowWriteError';

  /** @param reason `conflict`: a row had another version. `given-up`: the signal aborted. */
  constructor(readonly reason: 'conflict' | 'given-up') {
    super(reason === 'conflict' ? 'a row had changed' : 'the write was given up');
  }
}

/** Writes rows by compare-and-set. */
export interface RowWriter {
  /**
   * Writes all changes in one transaction, and repeats the same transaction until its outcome is
   * known: versions make the repeat harmless, and the writer token tells whether an earlier try
   * took effect. Rows written go into the row store.
   */
  write(changes: readonly RowChange[], signal: AbortSignal): Promise<Result<void, RowWriteError>>;
  /** Reads rows from the table into the row store; false when the table can't be read. */
  refresh(keys: readonly string[]): Promise<boolean>;
}

interface Attempt {
  readonly token: string;
  readonly writes: readonly TableWrite[];
}

function toWrite(change: RowChange, writer: string): TableWrite {
  const { key, expectedVersion, value } = change;
  if (value === undefined) return { key, expectedVersion };
  return { key, expectedVersion, value: JSON.stringify({ ...value, writer }) };
}

/** Creates a writer over a table service. */
export function createRowWriter(table: TableService, rows: RowStore): RowWriter {
  async function refresh(keys: readonly string[]): Promise<boolean> {
    const read = await table.read(keys);
    if (read.isErr()) return false;
    for (const row of read.value) rows.offer(row);
    return true;
  }

  function offerWritten(attempt: Attempt): void {
    for (const { key, expectedVersion, value } of attempt.writes) {
      if (typeof value === 'string') rows.offer({ key, version: expectedVersion + 1, value });
    }
  }

  async function tookEffectBefore(attempt: Attempt): Promise<boolean | undefined> {
    const changed = attempt.writes.find((it) => typeof it.value === 'string');
    if (changed === undefined) return false;
    const read = await table.read([changed.key]);
    if (read.isErr()) return undefined;
    for (const row of read.value) rows.offer(row);
    const row = read.value[0];
    return row?.version === changed.expectedVersion + 1 && row.value === changed.value;
  }

  async function tryOnce(attempt: Attempt): Promise<Result<void, RowWriteError> | undefined> {
    const outcome = await table.transact(attempt.writes);
    if (outcome.isErr()) return undefined;
    if (outcome.value.committed) return ok(undefined);
    const before = await tookEffectBefore(attempt);
    if (before === undefined) return undefined;
    return before ? ok(undefined) : err(new RowWriteError('conflict'));
  }

  return {
    refresh,
    async write(changes, signal) {
      const token = newToken();
      const attempt = { token, writes: changes.map((change) => toWrite(change, token)) };
      while (!signal.aborted) {
        const outcome = await tryOnce(attempt);
        if (outcome?.isOk() === true) offerWritten(attempt);
        if (outcome !== undefined) return outcome;
        await pause(RETRY_EVERY_MS, signal);
      }
      return err(new RowWriteError('given-up'));
    },
  };
}
