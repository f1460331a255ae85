import { setTimeout as sleep } from 'node:timers/promises';

import type { Result } from 'neverthrow';

import { PlatformError } from './platform-error.js';
import type { TableRow, TableService, TableWrite, TransactOutcome } from './table-service.js';
import { evidenceOfRows } from './write-evidence.js';

const DEFAULT_RETRY_DELAY_MS = 20;
const DEFAULT_COPY_AFTER_MS = 400;
/** Maximum number of copies in flight, so that a slow table gets at most twice the load. */
const MAX_COPIES = 2;
const NO_ANSWER = new PlatformError('table service did not answer before the deadline', true);
const NO_EVIDENCE = new PlatformError(
  'rows were overwritten or forgotten before a read-back',
  true,
);

/** Limits of a settled write. */
export interface SettledWriteOptions {
  /** Deadline for the outcome, in milliseconds on the clock `now`. */
  readonly deadlineAt: number;
  /** Monotonic clock in milliseconds; defaults to `performance.now`. */
  readonly now?: () => number;
  /** Delay between an error and the next copy, in milliseconds. */
  readonly retryDelayMs?: number;
  /**
   * Time without an answer after which another copy is sent, in milliseconds; it doubles each time.
   */
  readonly copyAfterMs?: number;
}

/** Outcome of a transaction as far as {@link settledWrite} could determine it. */
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
  /** The transaction did not take effect, and no request for it is in flight. */
  | { readonly kind: 'unavailable'; readonly error: PlatformError }
  /** The transaction may have taken effect, or may still do so. */
  | { readonly kind: 'unsettled'; readonly error: PlatformError };

/** Answer to one copy of the transaction; `undefined` if none arrived in time. */
type CopyAnswer =
  { readonly copy: Copy; readonly answer: Result<TransactOutcome, PlatformError> } | undefined;
/** A copy of the transaction that has been sent. */
type Copy = Promise<CopyAnswer>;

/**
 * Runs a transaction and determines its outcome even if answers are lost or late.
 *
 * Every written value must be JSON text with the field `writer: token`, and the token must be new
 * for this transaction. Deletions and version checks carry no token, so at least one write must set
 * a value.
 *
 * Reading the rows back after a lost answer would not determine the outcome: the request may still
 * be in flight and take effect after the read. Instead, the same transaction is sent again with the
 * same expected versions. At most one of the copies can take effect, since it increases the
 * versions that the others expect:
 * - If a copy commits, the others can no longer take effect.
 * - If a copy conflicts, some row no longer has its expected version, so no copy can take effect
 *   any more, and only now is a read-back final. The token in any row proves that a copy committed.
 *   A row at its expected version, or at the next one with another token, proves that none did.
 * - If no conclusive answer arrives before the deadline, the outcome is `unsettled`.
 *
 * This requires that versions only increase. In a table that came back from an older copy, a
 * conflict is about the rows as they are now: an earlier copy may have committed and be forgotten,
 * or take effect once the version that it expects is reached again. A caller that deletes rows and inserts them again
 * under the same key restarts them at version 1, and has to protect itself from delayed requests by
 * other means.
 */
export async function settledWrite(
  table: TableService,
  writes: readonly TableWrite[],
  token: string,
  options: SettledWriteOptions,
): Promise<SettledOutcome> {
  const now = options.now ?? (() => performance.now());
  const retryDelayMs = options.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS;
  let copyDelayMs = options.copyAfterMs ?? DEFAULT_COPY_AFTER_MS;
  const pending = new Set<Copy>();
  let lostAnswer: PlatformError | undefined;

  function send(): void {
    const copy: Copy = table.transact(writes).then((answer) => ({ copy, answer }));
    pending.add(copy);
  }

  send();
  for (;;) {
    const leftMs = options.deadlineAt - now();
    const answered = await firstAnswer(pending, Math.min(copyDelayMs, leftMs));
    if (answered === undefined) {
      if (now() >= options.deadlineAt) return { kind: 'unsettled', error: lostAnswer ?? NO_ANSWER };
      if (pending.size < MAX_COPIES) send();
      copyDelayMs *= 2;
      continue;
    }
    pending.delete(answered.copy);
    const earlierMayCommit = lostAnswer !== undefined || pending.size > 0;
    const settled = await settleAnswer(table, writes, token, answered.answer, earlierMayCommit);
    if (settled.kind !== 'open') return settled;
    if (settled.error.mayHaveTakenEffect) lostAnswer = settled.error;
    if (pending.size > 0) continue;
    if (now() + retryDelayMs >= options.deadlineAt) {
      return { kind: lostAnswer === undefined ? 'unavailable' : 'unsettled', error: settled.error };
    }
    await sleep(retryDelayMs);
    send();
  }
}

/** Waits for the first answer to any copy; `undefined` after the timeout. */
async function firstAnswer(copies: Iterable<Copy>, timeoutMs: number): Promise<CopyAnswer> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(resolve, Math.max(0, timeoutMs), undefined);
  });
  try {
    return await Promise.race([...copies, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Outcome as far as the answer to one copy determines it; `open` if it does not. */
type CopyOutcome = SettledOutcome | { readonly kind: 'open'; readonly error: PlatformError };

/** Determines the outcome from the answer to one copy; `open` if that is not conclusive. */
async function settleAnswer(
  table: TableService,
  writes: readonly TableWrite[],
  token: string,
  answer: Result<TransactOutcome, PlatformError>,
  earlierMayCommit: boolean,
): Promise<CopyOutcome> {
  if (answer.isErr()) {
    const isNotCommitted = !answer.error.mayHaveTakenEffect && !earlierMayCommit;
    return { kind: isNotCommitted ? 'unavailable' : 'open', error: answer.error };
  }
  if (answer.value.committed) return { kind: 'committed' };
  const { conflicts } = answer.value;
  const read = await table.read(earlierMayCommit ? writes.map((write) => write.key) : conflicts);
  if (read.isErr()) return { kind: 'open', error: read.error };
  const rows = read.value.filter((row) => conflicts.includes(row.key));
  if (!earlierMayCommit) return { kind: 'conflict', conflicts, rows };
  const evidence = evidenceOfRows(writes, read.value, token);
  if (evidence === 'committed') return { kind: 'committed' };
  if (evidence === 'not-committed') return { kind: 'conflict', conflicts, rows };
  return { kind: 'unsettled', error: NO_EVIDENCE };
}
