import { LRUCache } from 'lru-cache';

import { type LedgerClock, untilDeadline } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';
import type { BeginOutcome, ServerAnswer, LedgerHandle, LedgerRequest } from './ledger-types.js';
import type { RunRecord } from './recorder.js';
import { withResolvers } from './with-resolvers.js';

/** Size in bytes that a cached outcome counts for in addition to its body. */
const OUTCOME_BYTES = 512;
/** Outcome for a repeat of a request that was, or may have been, dispatched. @internal */
export const OUTCOME_UNKNOWN: BeginOutcome = { kind: 'unfinished', reason: 'recorded-unknown' };

/**
 * How a run ended, for the repeats that wait for it. After `not-run`, a repeat begins a new run.
 */
export type RunEnd =
  | { readonly kind: 'done'; readonly answer: ServerAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'not-run' };

/** One run of one request at this incarnation. */
export interface Run extends LedgerHandle {
  readonly record: RunRecord;
  /** Version that the write of the intent expects; once written, the version of the row. */
  version: number;
  readonly ended: Promise<RunEnd>;
  /** Resolves `ended`. */
  readonly end: (end: RunEnd) => void;
}

/** Runs in progress at this incarnation, and a cache of outcomes. */
export interface RunMemory {
  start(rowKey: string, record: RunRecord): Run;
  end(run: Run, end: RunEnd): void;
  /** Returns the run of a handle, or `undefined` once it has ended. */
  runOf(handle: LedgerHandle): Run | undefined;
  isRunning(rowKey: string): boolean;
  /**
   * Looks up an earlier run under the same key and waits for its end until the deadline. Resolves
   * to `undefined` if there is none, or if it ended as not run.
   */
  find(rowKey: string, req: LedgerRequest): Promise<BeginOutcome | undefined>;
  /** Caches an answer for repeats. */
  remember(rowKey: string, fingerprint: string, answer: ServerAnswer): void;
  /** Notes that a run has not been dispatched and never will be. */
  markNotRun(runToken: string): void;
  isNotRun(runToken: string): boolean;
  /** Number of runs in progress. */
  runningCount(): number;
}

/** Outcome of a run that has ended, with the fingerprint of its request. */
interface CachedOutcome {
  readonly fingerprint: string;
  readonly outcome: BeginOutcome;
}

const RUNNING_HERE: BeginOutcome = { kind: 'unfinished', reason: 'running-here' };

function sizeOf(cached: CachedOutcome): number {
  const bodyBytes = cached.outcome.kind === 'done' ? cached.outcome.answer.body.length : 0;
  return OUTCOME_BYTES + bodyBytes;
}

/** Creates the run memory of one incarnation. @internal */
export function createRunMemory(cfg: LedgerConfig, clock: LedgerClock): RunMemory {
  const running = new Map<string, Run>();
  const notRun = new LRUCache<string, true>({ max: cfg.memoryNotRun });
  const outcomeCache = new LRUCache<string, CachedOutcome>({
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
      const run = {
        rowKey,
        runToken: record.run,
        record,
        version: 0,
        ended: promise,
        end: resolve,
      };
      running.set(rowKey, run);
      return run;
    },
    end(run, end) {
      running.delete(run.rowKey);
      const { fingerprint } = run.record;
      if (end.kind === 'done') outcomeCache.set(run.rowKey, { fingerprint, outcome: end });
      if (end.kind === 'unknown') {
        outcomeCache.set(run.rowKey, { fingerprint, outcome: OUTCOME_UNKNOWN });
      }
      run.end(end);
    },
    runOf(handle) {
      const run = running.get(handle.rowKey);
      return run?.runToken === handle.runToken ? run : undefined;
    },
    isRunning: (rowKey) => running.has(rowKey),
    async find(rowKey, req) {
      const run = running.get(rowKey);
      const known = run?.record ?? outcomeCache.get(rowKey);
      if (known === undefined) return undefined;
      if (known.fingerprint !== req.fingerprint) return { kind: 'reused' };
      return run === undefined ? outcomeCache.get(rowKey)?.outcome : waitFor(run, req);
    },
    remember(rowKey, fingerprint, answer) {
      outcomeCache.set(rowKey, { fingerprint, outcome: { kind: 'done', answer } });
    },
    markNotRun: (runToken) => notRun.set(runToken, true),
    isNotRun: (runToken) => notRun.has(runToken),
    runningCount: () => running.size,
  };
}
