import { LRUCache } from 'lru-cache';

import { type LedgerClock, untilDeadline } from './ledger-clock.js';
import { OUTCOME_UNKNOWN } from './row-interpreter.js';
import type { LedgerConfig } from './ledger-config.js';
import type { BeginOutcome, ServerAnswer, LedgerHandle, LedgerRequest } from './ledger-types.js';
import type { RunRecord } from './recorder.js';
import { withResolvers } from './with-resolvers.js';

/** Size that a remembered outcome counts for beside its body, in bytes. */
const OUTCOME_BYTES = 512;

/** How a run ended for those that wait for it. `gone`: it did not run, so begin anew. */
export type RunEnd =
  | { readonly kind: 'done'; readonly answer: ServerAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not-run' };

/** One run of one request at this incarnation. */
export interface Run extends LedgerHandle {
  readonly record: RunRecord;
  /** Version that the next or last write of the intent expects, then that of the written row. */
  version: number;
  readonly ended: Promise<RunEnd>;
  readonly end: (end: RunEnd) => void;
}

/** What this incarnation knows of its runs without reading the table. */
export interface RunMemory {
  start(rowKey: string, record: RunRecord): Run;
  end(run: Run, end: RunEnd): void;
  /** Returns the run behind a handle while it has not ended. */
  runOf(handle: LedgerHandle): Run | undefined;
  isRunning(rowKey: string): boolean;
  /** Looks for an earlier run of the same key and waits for it until the deadline. */
  find(rowKey: string, req: LedgerRequest): Promise<BeginOutcome | undefined>;
  /** Keeps an answer for repeats. */
  remember(rowKey: string, fingerprint: string, answer: ServerAnswer): void;
  /** Notes that a run is proved not to have happened and never will. */
  markNotRun(run: string): void;
  isNotRun(run: string): boolean;
  size(): number;
}

interface Settled {
  readonly fingerprint: string;
  readonly outcome: BeginOutcome;
}

const RUNNING_HERE: BeginOutcome = { kind: 'unfinished', reason: 'running-here' };

function sizeOf(settled: Settled): number {
  const bodyBytes = settled.outcome.kind === 'done' ? settled.outcome.answer.body.length : 0;
  return OUTCOME_BYTES + bodyBytes;
}

/** Creates the memory of one incarnation. @internal */
export function createRunMemory(cfg: LedgerConfig, clock: LedgerClock): RunMemory {
  const running = new Map<string, Run>();
  const notRun = new LRUCache<string, true>({ max: cfg.memoryNotRun });
  const settled = new LRUCache<string, Settled>({
    maxSize: cfg.memoryBytes,
    sizeCalculation: sizeOf,
  });

  async function waitFor(run: Run, req: LedgerRequest): Promise<BeginOutcome | undefined> {
    const end = await untilDeadline(run.ended, req.deadlineAt, clock);
    if (end === undefined) return RUNNING_HERE;
    if (end.kind === 'done') return end;
    return end.kind === 'unknown' ? OUTCOME_UNKNOWN : undefined;
  }

  return {
    start(rowKey, record) {
      const { promise, resolve } = withResolvers<RunEnd>();
      const run = { rowKey, run: record.run, record, version: 0, ended: promise, end: resolve };
      running.set(rowKey, run);
      return run;
    },
    end(run, end) {
      running.delete(run.rowKey);
      const { fingerprint } = run.record;
      if (end.kind === 'done') settled.set(run.rowKey, { fingerprint, outcome: end });
      if (end.kind === 'unknown') {
        settled.set(run.rowKey, { fingerprint, outcome: OUTCOME_UNKNOWN });
      }
      run.end(end);
    },
    runOf(handle) {
      const run = running.get(handle.rowKey);
      return run?.run === handle.run ? run : undefined;
    },
    isRunning: (rowKey) => running.has(rowKey),
    async find(rowKey, req) {
      const run = running.get(rowKey);
      const known = run?.record ?? settled.get(rowKey);
      if (known === undefined) return undefined;
      if (known.fingerprint !== req.fingerprint) return { kind: 'reused' };
      return run === undefined ? settled.get(rowKey)?.outcome : waitFor(run, req);
    },
    remember(rowKey, fingerprint, answer) {
      settled.set(rowKey, { fingerprint, outcome: { kind: 'done', answer } });
    },
    markNotRun: (run) => notRun.set(run, true),
    isNotRun: (run) => notRun.has(run),
    size: () => running.size,
  };
}
