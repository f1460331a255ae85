import { setTimeout as sleep } from 'node:timers/promises';

import type { TableRow } from '@boragepoint/platform';

import type { GroupCommit } from './group-commit.js';
import { type IntentRecord, type IntentState, parseIntent } from './intent-record.js';
import type { LedgerConfig } from './ledger-config.js';
import type { RecordOutcome } from './ledger-types.js';
import type { RecordWatch } from './record-watch.js';

/** The fields of a record that are the same for the intent and the outcome. */
export type RunRecord = Omit<IntentRecord, 'writer' | 'outcome'>;

/** One outcome to record. */
export interface RecordTask {
  readonly rowKey: string;
  readonly record: RunRecord;
  /** Version that the row is expected to have. */
  readonly version: number;
  /** Prepares the state to write; resolves to `undefined` on a failure that is to be retried. */
  prepare(): Promise<IntentState | undefined>;
}

/** Records outcomes, with a bounded number of retries while the table is unavailable. */
export interface Recorder extends AsyncDisposable {
  record(task: RecordTask): Promise<RecordOutcome>;
  counts(): { readonly waiting: number; readonly lost: number };
}

type AttemptResult = 'recorded' | 'superseded' | 'retry' | { readonly nextVersion: number };

/**
 * Returns what to do about a row that has another version than expected. A row that is gone, or
 * that shows an earlier run as not run, comes from a table that forgot the intent of this run.
 */
function resultOfConflict(
  row: TableRow | undefined,
  { record }: RecordTask,
  { state }: IntentState,
): AttemptResult {
  if (row === undefined) return { nextVersion: 0 };
  const found = parseIntent(row);
  if (found === undefined) return 'superseded';
  if (found.run === record.run) {
    if (found.outcome.state === state) return 'recorded';
    return found.outcome.state === 'pending' ? { nextVersion: row.version } : 'superseded';
  }
  const isForgotten = found.outcome.state === 'not-run' && state !== 'not-run';
  return isForgotten ? { nextVersion: row.version } : 'superseded';
}

/**
 * Creates a recorder. Disposing of it cancels the delays between retries; a task that was waiting
 * makes one last attempt.
 * @internal
 */
export function createRecorder(
  commit: GroupCommit,
  watch: Pick<RecordWatch, 'note' | 'forget'>,
  cfg: LedgerConfig,
): Recorder {
  const stopping = new AbortController();
  const waiting = new Set<Promise<RecordOutcome>>();
  let lost = 0;

  async function tryOnce(task: RecordTask, version: number): Promise<AttemptResult> {
    const state = await task.prepare();
    if (state === undefined) return 'retry';
    const value = { ...task.record, outcome: state };
    const write = { key: task.rowKey, expectedVersion: version, value };
    const outcome = await commit.submit(write).outcome;
    if (outcome.kind === 'conflict') return resultOfConflict(outcome.row, task, state);
    if (outcome.kind !== 'committed') return 'retry';
    if (state.state === 'not-run') watch.forget(task.rowKey, task.record.run);
    else watch.note(task.rowKey, outcome.version, value);
    return 'recorded';
  }

  async function run(task: RecordTask): Promise<RecordOutcome> {
    let version = task.version;
    let pauseMs = cfg.recordPauseMs;
    for (let retries = 0; retries <= cfg.recordRetries;) {
      const result = await tryOnce(task, version);
      if (result === 'recorded') return 'recorded';
      if (result === 'superseded') break;
      if (result !== 'retry') {
        version = result.nextVersion;
        continue;
      }
      retries += 1;
      if (stopping.signal.aborted) break;
      await sleep(pauseMs, undefined, { signal: stopping.signal }).catch(() => undefined);
      pauseMs = Math.min(pauseMs * 2, cfg.recordMaxPauseMs);
    }
    lost += 1;
    return 'not-recorded';
  }

  return {
    record(task) {
      const outcome = run(task);
      waiting.add(outcome);
      void outcome.finally(() => waiting.delete(outcome));
      return outcome;
    },
    counts: () => ({ waiting: waiting.size, lost }),
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await Promise.all(waiting);
    },
  };
}
