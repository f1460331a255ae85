import { setTimeout as sleep } from 'node:timers/promises';

import type { GroupCommit } from './group-commit.js';
import { type IntentRecord, type IntentState, parseIntent } from './intent-record.js';
import type { LedgerConfig } from './ledger-config.js';
import type { RecordOutcome } from './ledger-types.js';

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
 * Creates a recorder. Disposing of it cancels the delays between retries; a task that was waiting
 * makes one last attempt.
 * @internal
 */
export function createRecorder(commit: GroupCommit, cfg: LedgerConfig): Recorder {
  const stopping = new AbortController();
  const waiting = new Set<Promise<RecordOutcome>>();
  let lost = 0;

  async function tryOnce(task: RecordTask, version: number): Promise<AttemptResult> {
    const state = await task.prepare();
    if (state === undefined) return 'retry';
    const outcome = await commit.submit({
      key: task.rowKey,
      expectedVersion: version,
      value: { ...task.record, outcome: state },
    }).outcome;
    if (outcome.kind === 'committed') return 'recorded';
    if (outcome.kind !== 'conflict') return 'retry';
    const found = outcome.row && parseIntent(outcome.row);
    if (outcome.row === undefined || found?.run !== task.record.run) return 'superseded';
    if (found.outcome.state === state.state) return 'recorded';
    return found.outcome.state === 'pending' ? { nextVersion: outcome.row.version } : 'superseded';
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
