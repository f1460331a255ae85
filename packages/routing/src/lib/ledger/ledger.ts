import type { ObjectStore, TableService } from '@boragepoint/platform';
import * as v from 'valibot';

import { recordAnswer } from './answer-store.js';
import { createRowInterpreter } from './row-interpreter.js';
import { createGroupCommit } from './group-commit.js';
import { checkKey } from './idempotency-key.js';
import { answerObjectKey, intentRowKey } from './intent-record.js';
import { createIntentWriter } from './intent-writer.js';
import { type LedgerClock, systemClock } from './ledger-clock.js';
import { type LedgerConfigInput, ledgerConfigSchema } from './ledger-config.js';
import type {
  BeginOutcome,
  ServerAnswer,
  Ledger,
  LedgerHandle,
  LedgerRequest,
  RecordOutcome,
} from './ledger-types.js';
import { createOutageTracker } from './outage-tracker.js';
import { createRecordWatch } from './record-watch.js';
import { createRecorder } from './recorder.js';
import { type Run, createRunMemory } from './run-memory.js';

/** Options of {@link createLedger}. */
export interface LedgerOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  /** Random identity that is new at each start of this instance. */
  readonly incarnation: string;
  /** Number of live routers, which share the transaction rate; 1 by default. */
  readonly liveRouters?: () => number;
  readonly clock?: LedgerClock;
  readonly config?: LedgerConfigInput;
}

const ONE_SECOND_MS = 1_000;

/**
 * Creates the ledger of one instance. Only the compare-and-set on the intent row decides who may
 * dispatch, so two instances that both consider themselves the keeper still run a request only
 * once. A row is not removed while its key is usable, so its version only increases and a delayed
 * write of an earlier run can't overwrite a later one.
 */
export function createLedger(options: LedgerOptions): Ledger {
  const { table, objects, incarnation } = options;
  const clock = options.clock ?? systemClock;
  const cfg = v.parse(ledgerConfigSchema, options.config ?? {});
  let tokens = 0;
  const newToken = () => `${incarnation}:${++tokens}`;
  const memory = createRunMemory(cfg, clock);
  const liveRouters = options.liveRouters ?? (() => 1);
  const fairIntervalMs = () => (liveRouters() * ONE_SECOND_MS) / cfg.transactionsPerSecond;
  const minStartIntervalMs = () => Math.max(cfg.batchGapMs, fairIntervalMs());
  const commit = createGroupCommit({ table, newToken, clock, cfg, minStartIntervalMs });
  const watch = createRecordWatch({ table, commit, clock, cfg });
  const recorder = createRecorder(commit, watch, cfg);
  const interpretRow = createRowInterpreter({ objects, incarnation, clock, memory });
  const outageTracker = createOutageTracker(clock, cfg);
  const recordNotRun = (run: Run) => void recordState(run, 'not-run');
  const writeIntent = createIntentWriter({
    table,
    commit,
    interpretRow,
    memory,
    watch,
    outageTracker,
    clock,
    cfg,
    recordNotRun,
  });

  function recordState(run: Run, state: 'not-run' | 'unknown'): Promise<RecordOutcome> {
    const { rowKey, record, version } = run;
    return recorder.record({ rowKey, record, version, prepare: () => Promise.resolve({ state }) });
  }

  async function begin(req: LedgerRequest): Promise<BeginOutcome> {
    const { service, fingerprint, deadlineAt } = req;
    const keyCheck = checkKey(req.idempotencyKey, clock.wallNow(), cfg);
    if (keyCheck.kind !== 'usable') return keyCheck;
    const rowKey = intentRowKey(service, req.idempotencyKey);
    for (;;) {
      const known = await memory.find(rowKey, req);
      if (known !== undefined) return known;
      if (memory.isRunning(rowKey)) continue;
      const run = memory.start(rowKey, {
        run: newToken(),
        keeper: incarnation,
        fingerprint,
        startedAtMs: clock.wallNow(),
        expiresAtMs: keyCheck.expiresAtMs,
      });
      const outcome = await writeIntent(run, deadlineAt);
      if (outcome.kind !== 'started') memory.end(run, { kind: 'not-run' });
      return outcome;
    }
  }

  async function finish(handle: LedgerHandle, answer: ServerAnswer): Promise<RecordOutcome> {
    const run = memory.runOf(handle);
    if (run === undefined) return 'not-recorded';
    memory.end(run, { kind: 'done', answer });
    const { rowKey, record, version } = run;
    const objectKey = answerObjectKey(rowKey, run.runToken);
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
    const run = memory.runOf(handle);
    if (run === undefined) return 'not-recorded';
    watch.forget(run.rowKey, run.runToken);
    memory.markNotRun(run.runToken);
    memory.end(run, { kind: 'not-run' });
    return recordState(run, 'not-run');
  }

  async function unknown(handle: LedgerHandle): Promise<RecordOutcome> {
    const run = memory.runOf(handle);
    if (run === undefined) return 'not-recorded';
    memory.end(run, { kind: 'unknown' });
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
      const { restored, forgotten } = watch.counts();
      return {
        transactions,
        rowsWritten: rows,
        rowsQueued: queued,
        running: memory.runningCount(),
        unrecorded: waiting,
        recordsLost: lost,
        recordsRestored: restored,
        recordsForgotten: forgotten,
      };
    },
    async [Symbol.asyncDispose]() {
      await recorder[Symbol.asyncDispose]();
      await watch[Symbol.asyncDispose]();
    },
  };
}
