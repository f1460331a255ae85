import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformError } from './platform-error.js';
import type { TableRow, TableService, TableWrite } from './table-service.js';

const DEFAULT_RETRY_GAP_MS = 20;

/** Limits of a settled write. */
export interface SettledWriteOptions {
  /** Time after which no further attempt begins, in milliseconds of `now`. */
  readonly deadlineAt: number;
  /** Monotonic clock in milliseconds; `performance.now` when left out. */
  readonly now?: () => number;
  /** Time between two attempts, in milliseconds. */
  readonly retryGapMs?: number;
}

/** What is known of a transaction once {@link settledWrite} returns. */
export type SettledOutcome =
  /** The transaction took effect. */
  | { readonly kind: 'committed' }
  /** The transaction did not take effect and never will. */
  | {
      readonly kind: 'conflict';
      /** Keys whose rows had other versions. */
      readonly conflicts: readonly string[];
      /** Those rows as read afterwards; rows that do not exist are left out. */
      readonly rows: readonly TableRow[];
    }
  /** The transaction did not take effect, and no request for it is on its way. */
  | { readonly kind: 'unavailable'; readonly error: PlatformError }
  /** The transaction may have taken effect, or may still do so. */
  | { readonly kind: 'unsettled'; readonly error: PlatformError };

/** Returns the writer token inside a row's JSON value, if it carries one. */
export function writerOf(row: TableRow): string | undefined {
  try {
    const value: unknown = JSON.parse(row.value);
    if (typeof value !== 'object' || value === null || !('writer' in value)) return undefined;
    return typeof value.writer === 'string' ? value.writer : undefined;
  } catch {
    return undefined;
  }
}

type Evidence = 'committed' | 'not-committed' | 'none';

/** What one written row proves about a transaction that can no longer arrive. */
function evidenceOf(write: TableWrite, row: TableRow | undefined, token: string): Evidence {
  if (typeof write.value !== 'string') return 'none';
  if (row !== undefined && writerOf(row) === token) return 'committed';
  const version = row?.version ?? 0;
  const isUntouched = version === write.expectedVersion;
  const isTakenByAnother = version === write.expectedVersion + 1;
  return isUntouched || isTakenByAnother ? 'not-committed' : 'none';
}

function judge(writes: readonly TableWrite[], rows: readonly TableRow[], token: string): Evidence {
  const byKey = new Map(rows.map((row) => [row.key, row]));
  const evidence = writes.map((write) => evidenceOf(write, byKey.get(write.key), token));
  if (evidence.includes('committed')) return 'committed';
  return evidence.includes('not-committed') ? 'not-committed' : 'none';
}

/**
 * Runs a transaction and settles a lost answer.
 *
 * Every written value must be JSON text with the field `writer: token`, and the token must be new
 * for this transaction. Deletions and version checks carry no token, so at least one row must.
 *
 * Reading the rows back after a lost answer would not settle anything by itself: the request may
 * still be on its way and land after the read. So the same transaction is sent again instead, with
 * the same expected versions. At most one of the copies can take effect, since it raises the
 * versions that the others expect:
 * - the copy commits: earlier copies can no longer take effect;
 * - the copy conflicts: some row has left its expected version, so no copy can take effect any
 *   more, and only now a read-back is final. The token in any row means that a copy committed. A
 *   row at its expected version, or one step on under another token, means that none did;
 * - no answer that decides comes before the deadline: `unsettled`.
 *
 * This holds while versions only rise. Whoever deletes rows and inserts them again under the same
 * key starts at version 1 again, and must keep delayed requests out by other means.
 */
export async function settledWrite(
  table: TableService,
  writes: readonly TableWrite[],
  token: string,
  options: SettledWriteOptions,
): Promise<SettledOutcome> {
  const now = options.now ?? (() => performance.now());
  const gapMs = options.retryGapMs ?? DEFAULT_RETRY_GAP_MS;
  let lost: PlatformError | undefined;
  for (;;) {
    const attempt = await attemptWrite(table, writes, token, lost);
    if (attempt.kind === 'lost') lost = attempt.error;
    else if (attempt.kind !== 'retry') return attempt;
    if (now() + gapMs >= options.deadlineAt) {
      return attempt.kind === 'retry' && lost === undefined
        ? { kind: 'unavailable', error: attempt.error }
        : { kind: 'unsettled', error: lost ?? attempt.error };
    }
    await sleep(gapMs);
  }
}

type Attempt =
  | SettledOutcome
  | { readonly kind: 'lost'; readonly error: PlatformError }
  | { readonly kind: 'retry'; readonly error: PlatformError };

async function attemptWrite(
  table: TableService,
  writes: readonly TableWrite[],
  token: string,
  lost: PlatformError | undefined,
): Promise<Attempt> {
  const answer = await table.transact(writes);
  if (answer.isErr()) {
    if (answer.error.mayHaveTakenEffect) return { kind: 'lost', error: answer.error };
    const kind = lost === undefined ? 'unavailable' : 'retry';
    return { kind, error: answer.error };
  }
  if (answer.value.committed) return { kind: 'committed' };
  return readBack(table, writes, token, answer.value.conflicts, lost);
}

async function readBack(
  table: TableService,
  writes: readonly TableWrite[],
  token: string,
  conflicts: readonly string[],
  lost: PlatformError | undefined,
): Promise<Attempt> {
  const keys = lost === undefined ? conflicts : writes.map((write) => write.key);
  const read = await table.read(keys);
  if (read.isErr()) return { kind: 'retry', error: read.error };
  const rows = read.value.filter((row) => conflicts.includes(row.key));
  if (lost === undefined) return { kind: 'conflict', conflicts, rows };
  const evidence = judge(writes, read.value, token);
  if (evidence === 'committed') return { kind: 'committed' };
  if (evidence === 'not-committed') return { kind: 'conflict', conflicts, rows };
  return { kind: 'unsettled', error: lost };
}
