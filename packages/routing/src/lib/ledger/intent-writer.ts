import { setTimeout as sleep } from 'node:timers/promises';

import type { TableRow, TableService } from '@boragepoint/platform';

import type { RowJudge, Verdict } from './found-row.js';
import type { GroupCommit, RowOutcome } from './group-commit.js';
import type { IntentState } from './intent-record.js';
import { type LedgerClock, untilDeadline } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';
import type { BeginOutcome } from './ledger-types.js';
import type { Outage } from './outage.js';
import type { Run, RunMemory } from './run-memory.js';

/** What {@link createIntentWriter} needs. */
export interface IntentWriterOptions {
  readonly table: TableService;
  readonly commit: GroupCommit;
  readonly judge: RowJudge;
  readonly memory: RunMemory;
  readonly outage: Outage;
  readonly clock: LedgerClock;
  readonly cfg: LedgerConfig;
  /** Records in the background that a run did not and will not happen. */
  readonly recordNotRun: (run: Run) => void;
}

/** Records the intent of a run before the deadline, or finds what stands in its way. @internal */
export type IntentWriter = (run: Run, deadlineAt: number) => Promise<BeginOutcome>;

/** Outcome of one write of an intent; `given-up` when it was not settled before the deadline. */
type WrittenIntent = Exclude<RowOutcome, { kind: 'unsettled' }> | { readonly kind: 'given-up' };

const ELSEWHERE: BeginOutcome = { kind: 'unfinished', reason: 'pending-elsewhere' };

/** Creates the writer of intents. @internal */
export function createIntentWriter(options: IntentWriterOptions): IntentWriter {
  const { table, commit, judge, memory, outage, clock, cfg, recordNotRun } = options;

  /**
   * Writes the pending row. When it is given up but may have been written after all, it is marked
   * as not run in the background: nothing was dispatched under its token and nothing will be, so
   * until then this incarnation may take the row over.
   */
  async function write(run: Run, deadlineAt: number): Promise<WrittenIntent> {
    const submitted = commit.submit({
      key: run.rowKey,
      expectedVersion: run.version,
      value: { ...run.record, outcome: { state: 'pending' } satisfies IntentState },
    });
    const outcome = await untilDeadline(submitted.outcome, deadlineAt, clock);
    if (outcome !== undefined && outcome.kind !== 'unsettled') return outcome;
    if (submitted.withdraw()) return { kind: 'given-up' };
    memory.setNotRun(run.run);
    void submitted.outcome.then((late) => {
      if (late.kind === 'committed' || late.kind === 'unsettled') recordNotRun(run);
    });
    return { kind: 'given-up' };
  }

  async function readRow(rowKey: string, deadlineAt: number) {
    const lookUntil = Math.min(deadlineAt, clock.now() + cfg.lookupMs);
    const read = await untilDeadline(table.read([rowKey]), lookUntil, clock);
    return read?.isOk() === true ? { row: read.value[0] } : undefined;
  }

  /** The intent could not be written: looks whether the table at least tells of an earlier try. */
  async function refuse(run: Run, deadlineAt: number): Promise<BeginOutcome> {
    outage.failed();
    const retryAfterMs = outage.retryAfterMs();
    const notKnown: BeginOutcome = { kind: 'unavailable', earlierTry: 'not-known', retryAfterMs };
    if (clock.now() >= deadlineAt) return notKnown;
    const found = await readRow(run.rowKey, deadlineAt);
    if (found === undefined) return notKnown;
    const verdict = await judge(found.row, run.record.fingerprint);
    if (verdict.kind === 'look-again') return ELSEWHERE;
    if (verdict.kind !== 'take-over') return verdict;
    return { kind: 'unavailable', earlierTry: 'none', retryAfterMs };
  }

  /** Settles what a found row means, waiting a while for a run at another instance. */
  async function settleFound(found: TableRow | undefined, run: Run, lookUntil: number) {
    let row = found;
    for (;;) {
      const verdict: Verdict = await judge(row, run.record.fingerprint);
      if (verdict.kind !== 'look-again') return verdict;
      if (clock.now() + cfg.elsewherePollMs >= lookUntil) return ELSEWHERE;
      await sleep(cfg.elsewherePollMs);
      const read = await readRow(run.rowKey, lookUntil);
      if (read === undefined) return ELSEWHERE;
      row = read.row;
    }
  }

  function mayTryAgain(deadlineAt: number): boolean {
    outage.failed();
    return outage.isBrief() && clock.now() + cfg.briefOutagePauseMs < deadlineAt;
  }

  return async (run, deadlineAt) => {
    if (commit.isStalled()) return refuse(run, deadlineAt);
    const lookUntil = Math.min(deadlineAt, clock.now() + cfg.elsewhereWaitMs);
    for (;;) {
      const outcome = await write(run, deadlineAt);
      if (outcome.kind === 'unavailable' && mayTryAgain(deadlineAt)) {
        await sleep(cfg.briefOutagePauseMs);
        continue;
      }
      if (outcome.kind === 'unavailable' || outcome.kind === 'given-up') {
        return refuse(run, deadlineAt);
      }
      outage.succeeded();
      if (outcome.kind === 'committed') {
        run.version = outcome.version;
        return { kind: 'started', handle: run };
      }
      const verdict = await settleFound(outcome.row, run, lookUntil);
      if (verdict.kind !== 'take-over') return verdict;
      run.version = verdict.version;
      if (clock.now() >= deadlineAt) return refuse(run, deadlineAt);
    }
  };
}
