import type { ObjectStore, TableRow } from '@boragepoint/platform';

import { loadAnswer } from './answer-store.js';
import { type IntentRecord, type RecordedAnswer, parseIntent } from './intent-record.js';
import type { LedgerClock } from './ledger-clock.js';
import type { BeginOutcome } from './ledger-types.js';
import { OUTCOME_UNKNOWN, type RunMemory } from './run-memory.js';

/** What an existing row means: an outcome, a row to take over, or a row to read again later. */
export type RowDecision =
  | BeginOutcome
  | { readonly kind: 'take-over'; readonly version: number }
  | { readonly kind: 'read-again' };

/** Options of {@link createRowInterpreter}. */
export interface RowInterpreterOptions {
  readonly objects: ObjectStore;
  readonly incarnation: string;
  readonly clock: LedgerClock;
  readonly memory: Pick<RunMemory, 'isNotRun' | 'remember'>;
}

/** Decides what a row that conflicts with an intent means for it. @internal */
export type RowInterpreter = (
  row: TableRow | undefined,
  fingerprint: string,
) => Promise<RowDecision>;

/** Creates the row interpreter of one incarnation. @internal */
export function createRowInterpreter(options: RowInterpreterOptions): RowInterpreter {
  const { objects, incarnation, clock, memory } = options;

  async function replay(
    rowKey: string,
    fingerprint: string,
    recorded: RecordedAnswer,
  ): Promise<BeginOutcome> {
    const loaded = await loadAnswer(objects, recorded);
    if (loaded.isErr()) return OUTCOME_UNKNOWN;
    if (loaded.value === undefined) return { kind: 'expired' };
    memory.remember(rowKey, fingerprint, loaded.value);
    return { kind: 'done', answer: loaded.value };
  }

  function interpretPending(row: TableRow, record: IntentRecord): RowDecision {
    if (memory.isNotRun(record.run)) return { kind: 'take-over', version: row.version };
    return record.keeper === incarnation ? OUTCOME_UNKNOWN : { kind: 'read-again' };
  }

  return async (row, fingerprint) => {
    if (row === undefined) return { kind: 'take-over', version: 0 };
    const record = parseIntent(row);
    if (record === undefined) return OUTCOME_UNKNOWN;
    if (record.fingerprint !== fingerprint) return { kind: 'reused' };
    const { outcome } = record;
    if (outcome.state === 'not-run') return { kind: 'take-over', version: row.version };
    if (record.expiresAtMs < clock.wallNow()) return { kind: 'expired' };
    if (outcome.state === 'pending') return interpretPending(row, record);
    if (outcome.state === 'unknown') return OUTCOME_UNKNOWN;
    return replay(row.key, fingerprint, outcome.answer);
  };
}
