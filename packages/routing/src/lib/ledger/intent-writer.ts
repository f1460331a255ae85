import { setTimeout as sleep } from 'node:timers/promises';

import type { TableRow, TableService } from '@boragepoint/platform';

import type { RowInterpreter, RowDecision } from './row-interpreter.js';
import type { GroupCommit, RowOutcome } from './group-commit.js';
import type { IntentState } from './intent-record.js';
import { type LedgerClock, untilDeadline } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';
import type { BeginOutcome } from './ledger-types.js';
import type { OutageTracker } from './outage-tracker.js';
import type { RecordWatch } from './record-watch.js';
import type { Run, RunMemory } from './run-memory.js';

/** Options of {@link createIntentWriter}. */
export interface IntentWriterOptions {
  readonly table: TableService;
  readonly commit: GroupCommit;
  readonly interpretRow: RowInterpreter;
  readonly memory: RunMemory;
  readonly watch: Pick<RecordWatch, 'note'>;
  readonly outageTracker: OutageTracker;
  readonly clock: LedgerClock;
  readonly cfg: LedgerConfig;
  /** Records in the background that a run has not been dispatched and never will be. */
  readonly recordNotRun: (run: Run) => void;
}

/** Records the intent of a run before the deadline, or returns what prevents it. @internal */
export type IntentWriter = (run: Run, deadlineAt: number) => Promise<BeginOutcome>;

/** Outcome of one write of an intent; `timed-out` when it was not settled before the deadline. */
type IntentWriteOutcome =
  Exclude<RowOutcome, { kind: 'unsettled' }> | { readonly kind: 'timed-out' };

const PENDING_ELSEWHERE: BeginOutcome = { kind: 'unfinished', reason: 'pending-elsewhere' };

/** Creates an intent writer. @internal */
export function createIntentWriter(options: IntentWriterOptions): IntentWriter {
  const { table, commit, interpretRow, memory, watch } = options;
  const { outageTracker, clock, cfg, recordNotRun } = options;

  /**
   * Writes the pending row. A write that timed out may still be committed, so the row is then
   * marked as not run in the background. Until that is done, this incarnation may take the row
   * over: nothing has been dispatched under its token, and nothing will be.
   */
  async function write(run: Run, deadlineAt: number): Promise<IntentWriteOutcome> {
    const submitted = commit.submit({
      key: run.rowKey,
      expectedVersion: run.version,
      value: { ...run.record, outcome: { state: 'pending' } satisfies IntentState },
    });
    const outcome = await untilDeadline(submitted.outcome, deadlineAt, clock);
    if (outcome !== undefined && outcome.kind !== 'unsettled') return outcome;
    if (submitted.withdraw()) return { kind: 'timed-out' };
    memory.markNotRun(run.runToken);
    void submitted.outcome.then((late) => {
      if (late.kind === 'committed' || late.kind === 'unsettled') recordNotRun(run);
    });
    return { kind: 'timed-out' };
  }

  async function readRow(rowKey: string, deadlineAt: number) {
    const readDeadlineAt = Math.min(deadlineAt, clock.now() + cfg.lookupMs);
    const read = await untilDeadline(table.read([rowKey]), readDeadlineAt, clock);
    return read?.isOk() === true ? { row: read.value[0] } : undefined;
  }

  /** Refuses an intent that could not be written, after a lookup of an earlier attempt. */
  async function refuse(run: Run, deadlineAt: number): Promise<BeginOutcome> {
    outageTracker.recordFailure();
    const retryAfterMs = outageTracker.retryAfterMs();
    const unavailable: BeginOutcome = {
      kind: 'unavailable',
      earlierAttempt: 'not-known',
      retryAfterMs,
    };
    if (clock.now() >= deadlineAt) return unavailable;
    const found = await readRow(run.rowKey, deadlineAt);
    if (found === undefined) return unavailable;
    const decision = await interpretRow(found.row, run.record.fingerprint);
    if (decision.kind === 'read-again') return PENDING_ELSEWHERE;
    if (decision.kind !== 'take-over') return decision;
    return { kind: 'unavailable', earlierAttempt: 'none', retryAfterMs };
  }

  /** Interprets an existing row, polling it for a bounded time while another instance runs it. */
  async function resolveExistingRow(found: TableRow | undefined, run: Run, waitDeadlineAt: number) {
    let row = found;
    for (;;) {
      const decision: RowDecision = await interpretRow(row, run.record.fingerprint);
      if (decision.kind !== 'read-again') return decision;
      if (clock.now() + cfg.elsewherePollMs >= waitDeadlineAt) return PENDING_ELSEWHERE;
      await sleep(cfg.elsewherePollMs);
      const read = await readRow(run.rowKey, waitDeadlineAt);
      if (read === undefined) return PENDING_ELSEWHERE;
      row = read.row;
    }
  }

  /** Records a failure of the table; returns true if the write may be retried. */
  function recordFailureAndCheckRetry(deadlineAt: number): boolean {
    outageTracker.recordFailure();
    return outageTracker.isBrief() && clock.now() + cfg.briefOutagePauseMs < deadlineAt;
  }

  return async (run, deadlineAt) => {
    if (commit.isStalled()) return refuse(run, deadlineAt);
    const waitDeadlineAt = Math.min(deadlineAt, clock.now() + cfg.elsewhereWaitMs);
    for (;;) {
      const outcome = await write(run, deadlineAt);
      if (outcome.kind === 'unavailable' && recordFailureAndCheckRetry(deadlineAt)) {
        await sleep(cfg.briefOutagePauseMs);
        continue;
      }
      if (outcome.kind === 'unavailable' || outcome.kind === 'timed-out') {
        return refuse(run, deadlineAt);
      }
      outageTracker.recordSuccess();
      if (outcome.kind === 'committed') {
        run.version = outcome.version;
        watch.note(run.rowKey, outcome.version, { ...run.record, outcome: { state: 'pending' } });
        return { kind: 'started', handle: run };
      }
      const decision = await resolveExistingRow(outcome.row, run, waitDeadlineAt);
      if (decision.kind !== 'take-over') return decision;
      run.version = decision.version;
      if (clock.now() >= deadlineAt) return refuse(run, deadlineAt);
    }
  };
}
