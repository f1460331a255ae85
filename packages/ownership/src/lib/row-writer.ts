import {
  type TableRow,
  type TableService,
  type TableWrite,
  settledWrite,
  writerOf,
} from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';
import { v4 as newToken } from 'uuid';

import { monotonicMs, pause } from './pause.js';
import type { RowStore } from './row-store.js';

/** Interval between attempts of a write whose outcome is unknown. */
const RETRY_INTERVAL_MS = 50;
/** Time limit of one attempt. */
const ATTEMPT_TIMEOUT_MS = 1_000;

/** A change to one row: the new value without its writer token, or a check of its version. */
export interface RowChange {
  readonly key: string;
  /** 0 when the row must not exist yet. */
  readonly expectedVersion: number;
  /** Omitted when only the version is checked. */
  readonly value?: object;
}

/** Why a write did not take effect. */
export class RowWriteError extends Error {
  override readonly name = 'RowWriteError';

  /** @param reason `conflict`: a row has another version. `given-up`: the signal aborted. */
  constructor(readonly reason: 'conflict' | 'given-up') {
    super(
      reason === 'conflict'
        ? 'a row has another version than expected'
        : 'the write was aborted before its outcome was known',
    );
  }
}

/** Writes rows by compare-and-set. */
export interface RowWriter {
  /**
   * Writes all changes in one transaction, and repeats the same transaction until its outcome is
   * known. The versions make a repeated transaction harmless, and the writer token tells whether an
   * earlier attempt took effect. Written rows are added to the row store.
   */
  write(changes: readonly RowChange[], signal: AbortSignal): Promise<Result<void, RowWriteError>>;
  /** Reads rows from the table into the row store; false when the table can't be read. */
  refresh(keys: readonly string[]): Promise<boolean>;
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

  function offerWritten(writes: readonly TableWrite[]): void {
    for (const { key, expectedVersion, value } of writes) {
      if (typeof value === 'string') rows.offer({ key, version: expectedVersion + 1, value });
    }
  }

  /** Stores the rows; true when one of them shows that an earlier attempt took effect. */
  function offerFound(found: readonly TableRow[], token: string): boolean {
    for (const row of found) rows.offer(row);
    return found.some((row) => writerOf(row) === token);
  }

  return {
    refresh,
    async write(changes, signal) {
      const token = newToken();
      const writes = changes.map((change) => toWrite(change, token));
      while (!signal.aborted) {
        const deadlineAt = monotonicMs() + ATTEMPT_TIMEOUT_MS;
        const settled = await settledWrite(table, writes, token, { deadlineAt });
        const isCommitted =
          settled.kind === 'committed' ||
          (settled.kind === 'conflict' && offerFound(settled.rows, token));
        if (isCommitted) {
          offerWritten(writes);
          return ok(undefined);
        }
        if (settled.kind === 'conflict') return err(new RowWriteError('conflict'));
        await pause(RETRY_INTERVAL_MS, signal);
      }
      return err(new RowWriteError('given-up'));
    },
  };
}
