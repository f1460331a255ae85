import { setTimeout as sleep } from 'node:timers/promises';

import type { ObjectStore, TableRow, TableService } from '@boragepoint/platform';
import { LRUCache } from 'lru-cache';
import * as v from 'valibot';

import { loadAnswer, recordAnswer } from './answer-store.js';
import { type RowOutcome, createGroupCommit, withResolvers } from './group-commit.js';
import { checkKey } from './idempotency-key.js';
import {
  type IntentRecord,
  type IntentState,
  answerObjectKey,
  intentRowKey,
  parseIntent,
} from './intent-record.js';
import { type LedgerClock, systemClock, untilDeadline } from './ledger-clock.js';
import { type LedgerConfigInput, ledgerConfigSchema } from './ledger-config.js';
import type {
  BeginOutcome,
  KeptAnswer,
  Ledger,
  LedgerHandle,
  LedgerRequest,
  RecordOutcome,
} from './ledger-types.js';
import { type RunRecord, createRecorder } from './recorder.js';

/** What a ledger needs. */
export interface LedgerOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** Random identity that is new at each start of this instance. */
  readonly incarnation: string;
  readonly clock?: LedgerClock;
  readonly config?: LedgerConfigInput;
}

/** How a run ended for those that wait for it. `gone`: it left no answer, so begin anew. */
type RunEnd =
  | { readonly kind: 'done'; readonly answer: KeptAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'gone' };

interface Run extends LedgerHandle {
  readonly record: RunRecord;
  /** Version that the last write expected, then the version of the written intent. */
  version: number;
  readonly ended: Promise<RunEnd>;
  readonly end: (end: RunEnd) => void;
}

/** What a found row means for a request: an outcome, a row to take over, or a row to look at again. */
type Verdict =
  | BeginOutcome
  | { readonly kind: 'take-over'; readonly version: number }
  | { readonly kind: 'look-again' };

const UNKNOWN: BeginOutcome = { kind: 'unfinished', reason: 'recorded-unknown' };
const ELSEWHERE: BeginOutcome = { kind: 'unfinished', reason: 'pending-elsewhere' };
const RUNNING_HERE: BeginOutcome = { kind: 'unfinished', reason: 'running-here' };

/**
 * Creates the ledger of one instance. Only compare-and-set on the intent row decides who may
 * dispatch, so two instances that both take themselves for the keeper do no harm. Rows are never
 * deleted while their key may be used, so that versions only rise and a delayed write of an
 * earlier run can't touch a later one.
 */
export function createLedger(options: LedgerOptions): Ledger {
  const { table, objects, incarnation } = options;
  const clock = options.clock ?? systemClock;
  const cfg = v.parse(ledgerConfigSchema, options.config ?? {});
  let tokens = 0;
  const newToken = () => `${incarnation}:${++tokens}`;
  const commit = createGroupCommit({ table, newToken, clock, cfg });
  const recorder = createRecorder(commit, cfg);
  const running = new Map<string, Run>();
  /** Runs of this incarnation that are proved not to have been dispatched, or not run. */
  const notRunHere = new LRUCache<string, true>({ max: cfg.memoryNotRun });
  const answers = new LRUCache<
    string,
    { readonly fingerprint: string; readonly answer: KeptAnswer }
  >({ maxSize: cfg.memoryBytes, sizeCalculation: (it) => it.answer.body.length + 1 });
  let downSince: number | undefined;

  function unavailable(): BeginOutcome {
    downSince ??= clock.now();
    const downMs = clock.now() - downSince;
    const retryAfterMs = Math.min(Math.max(downMs, cfg.retryAfterMs), cfg.maxRetryAfterMs);
    return { kind: 'unavailable', retryAfterMs: Math.ceil(retryAfterMs) };
  }

  function newRun(rowKey: string, req: LedgerRequest, expiresAtMs: number): Run {
    const run = newToken();
    const { fingerprint } = req;
    const { promise, resolve } = withResolvers<RunEnd>();
    const record = { run, keeper: incarnation, fingerprint, expiresAtMs };
    return { rowKey, run, record, version: 0, ended: promise, end: resolve };
  }

  function endRun(run: Run, end: RunEnd): void {
    if (running.get(run.rowKey) === run) running.delete(run.rowKey);
    run.end(end);
  }

  async function begin(req: LedgerRequest): Promise<BeginOutcome> {
    const key = checkKey(req.idempotencyKey, clock.wallNow(), cfg);
    if (key.kind !== 'usable') return key;
    const rowKey = intentRowKey(req.service, req.idempotencyKey);
    for (;;) {
      const known = await findHere(rowKey, req);
      if (known !== undefined) return known;
      if (running.has(rowKey)) continue;
      if (commit.isStalled()) return unavailable();
      const run = newRun(rowKey, req, key.expiresAtMs);
      running.set(rowKey, run);
      const outcome = await start(run, req);
      if (outcome.kind !== 'started') endRun(run, { kind: 'gone' });
      return outcome;
    }
  }

  /** Looks for a run of the same key in memory and waits for it. */
  async function findHere(rowKey: string, req: LedgerRequest): Promise<BeginOutcome | undefined> {
    const other = running.get(rowKey);
    if (other !== undefined) {
      if (other.record.fingerprint !== req.fingerprint) return { kind: 'reused' };
      const end = await untilDeadline(other.ended, req.deadlineAt, clock);
      if (end === undefined) return RUNNING_HERE;
      if (end.kind === 'done') return end;
      return end.kind === 'unknown' ? UNKNOWN : undefined;
    }
    const kept = answers.get(rowKey);
    if (kept === undefined) return undefined;
    if (kept.fingerprint !== req.fingerprint) return { kind: 'reused' };
    return { kind: 'done', answer: kept.answer };
  }

  async function start(run: Run, req: LedgerRequest): Promise<BeginOutcome> {
    const lookUntil = Math.min(req.deadlineAt, clock.now() + cfg.elsewhereWaitMs);
    for (;;) {
      const outcome = await writeIntent(run, req.deadlineAt);
      if (outcome === undefined) return unavailable();
      downSince = undefined;
      if (outcome.kind === 'committed') {
        run.version = outcome.version;
        return { kind: 'started', handle: run };
      }
      const verdict = await settleFound(outcome.row, run, lookUntil);
      if (verdict.kind !== 'take-over') return verdict;
      run.version = verdict.version;
      if (clock.now() >= req.deadlineAt) return unavailable();
    }
  }

  /**
   * Writes the pending row; `undefined` when it could not be written in time. If it may have been
   * written after all, it is marked as not run in the background: nothing was dispatched under
   * its token and nothing will be, so until then this incarnation may take the row over.
   */
  async function writeIntent(
    run: Run,
    deadlineAt: number,
  ): Promise<Extract<RowOutcome, { kind: 'committed' | 'conflict' }> | undefined> {
    const submitted = commit.submit({
      key: run.rowKey,
      expectedVersion: run.version,
      value: { ...run.record, outcome: { state: 'pending' } satisfies IntentState },
    });
    const outcome = await untilDeadline(submitted.outcome, deadlineAt, clock);
    if (outcome?.kind === 'committed' || outcome?.kind === 'conflict') return outcome;
    if (outcome?.kind === 'unavailable' || submitted.withdraw()) return undefined;
    notRunHere.set(run.run, true);
    void submitted.outcome.then((late) => {
      if (late.kind === 'committed' || late.kind === 'unsettled') void recordState(run, 'not-run');
    });
    return undefined;
  }

  async function settleFound(
    found: TableRow | undefined,
    run: Run,
    lookUntil: number,
  ): Promise<Exclude<Verdict, { kind: 'look-again' }>> {
    let row = found;
    for (;;) {
      const verdict = await judge(row, run.record.fingerprint);
      if (verdict.kind !== 'look-again') return verdict;
      if (clock.now() + cfg.elsewherePollMs >= lookUntil) return ELSEWHERE;
      await sleep(cfg.elsewherePollMs);
      const read = await table.read([run.rowKey]);
      if (read.isErr()) return ELSEWHERE;
      row = read.value[0];
    }
  }

  async function judge(row: TableRow | undefined, fingerprint: string): Promise<Verdict> {
    if (row === undefined) return { kind: 'take-over', version: 0 };
    const record = parseIntent(row);
    if (record === undefined) return UNKNOWN;
    if (record.fingerprint !== fingerprint) return { kind: 'reused' };
    if (record.expiresAtMs < clock.wallNow()) return { kind: 'expired' };
    switch (record.outcome.state) {
      case 'done':
        return replay(row.key, record);
      case 'unknown':
        return UNKNOWN;
      case 'not-run':
        return { kind: 'take-over', version: row.version };
      case 'pending':
        if (notRunHere.has(record.run)) return { kind: 'take-over', version: row.version };
        return record.keeper === incarnation ? UNKNOWN : { kind: 'look-again' };
    }
  }

  async function replay(rowKey: string, record: IntentRecord): Promise<BeginOutcome> {
    if (record.outcome.state !== 'done') return UNKNOWN;
    const loaded = await loadAnswer(objects, record.outcome.answer);
    if (loaded.isErr()) return UNKNOWN;
    if (loaded.value === undefined) return { kind: 'expired' };
    answers.set(rowKey, { fingerprint: record.fingerprint, answer: loaded.value });
    return { kind: 'done', answer: loaded.value };
  }

  function recordState(run: Run, state: 'not-run' | 'unknown'): Promise<RecordOutcome> {
    const prepare = () => Promise.resolve({ state });
    return recorder.record({
      rowKey: run.rowKey,
      record: run.record,
      version: run.version,
      prepare,
    });
  }

  function runOf(handle: LedgerHandle): Run | undefined {
    const run = running.get(handle.rowKey);
    return run?.run === handle.run ? run : undefined;
  }

  async function finish(handle: LedgerHandle, answer: KeptAnswer): Promise<RecordOutcome> {
    const run = runOf(handle);
    if (run === undefined) return 'not-recorded';
    const { rowKey, record, version } = run;
    answers.set(rowKey, { fingerprint: record.fingerprint, answer });
    endRun(run, { kind: 'done', answer });
    const objectKey = answerObjectKey(rowKey, run.run);
    return recorder.record({
      rowKey,
      record,
      version,
      prepare: async () => {
        const recorded = await recordAnswer(objects, objectKey, answer, cfg.inlineBytes);
        return recorded.isOk() ? { state: 'done', answer: recorded.value } : undefined;
      },
    });
  }

  async function notRun(handle: LedgerHandle): Promise<RecordOutcome> {
    const run = runOf(handle);
    if (run === undefined) return 'not-recorded';
    notRunHere.set(run.run, true);
    endRun(run, { kind: 'gone' });
    return recordState(run, 'not-run');
  }

  async function unknown(handle: LedgerHandle): Promise<RecordOutcome> {
    const run = runOf(handle);
    if (run === undefined) return 'not-recorded';
    endRun(run, { kind: 'unknown' });
    return recordState(run, 'unknown');
  }

  return {
    begin,
    finish,
    notRun,
    unknown,
    stats() {
      const { transactions, rows, queued } = commit.counts();
      const { waiting, lost } = recorder.counts();
      return {
        transactions,
        rowsWritten: rows,
        rowsQueued: queued,
        running: running.size,
        unrecorded: waiting,
        recordsLost: lost,
      };
    },
    async [Symbol.asyncDispose]() {
      await recorder[Symbol.asyncDispose]();
    },
  };
}
