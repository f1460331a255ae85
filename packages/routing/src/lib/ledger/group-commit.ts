import { type TableRow, type TableService, settledWrite } from '@boragepoint/platform';

import type { LedgerClock } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';
import { withResolvers } from './with-resolvers.js';

/** A copy of a transaction is sent after this many times the smoothed latency, up to a bound. */
const COPY_AFTER_LATENCIES = 3;
const MAX_COPY_AFTER_MS = 2_000;
/** Weight of one transaction in the smoothed latency. */
const LATENCY_WEIGHT = 0.1;

/** A write of one row. The token of the transaction is added to its value as `writer`. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; 0 if it must not exist. */
  readonly expectedVersion: number;
  readonly value: object;
}

/** Outcome of the write of one row. */
export type RowOutcome =
  /** The row was written. */
  | { readonly kind: 'committed'; readonly version: number }
  /** The row had another version and was not written; `row` is the row that was read afterwards. */
  | { readonly kind: 'conflict'; readonly row: TableRow | undefined }
  /** The row was not written and never will be: the table failed, or the queue was full. */
  | { readonly kind: 'unavailable' }
  /** The row may have been written, or may still be written. */
  | { readonly kind: 'unsettled' };

/** A row that is queued or being written. */
export interface SubmittedRow {
  readonly outcome: Promise<RowOutcome>;
  /** Removes the row from the queue; returns false if a transaction has already started with it. */
  withdraw(): boolean;
}

/** Writes the rows of many requests in few transactions. */
export interface GroupCommit {
  submit(write: RowWrite): SubmittedRow;
  /**
   * True while every allowed transaction is stalled, so that a new row would not be written soon.
   */
  isStalled(): boolean;
  counts(): { readonly transactions: number; readonly rows: number; readonly queued: number };
}

/** Options of {@link createGroupCommit}. */
export interface GroupCommitOptions {
  readonly table: TableService;
  /** Returns a token that has never been used before. */
  readonly newToken: () => string;
  readonly clock: LedgerClock;
  readonly cfg: LedgerConfig;
  /** Minimum time between the starts of two transactions, in milliseconds. */
  readonly minStartIntervalMs: () => number;
}

interface QueuedRow {
  readonly write: RowWrite;
  readonly bytes: number;
  readonly resolve: (outcome: RowOutcome) => void;
}

/**
 * Creates a group commit. One transaction is in flight at a time while the next batch is collected.
 * When it stalls, another one starts in parallel, so that one lost answer does not block all
 * requests. A row in conflict is removed from its batch, and the others are written without it.
 */
export function createGroupCommit(options: GroupCommitOptions): GroupCommit {
  const { table, newToken, clock, cfg, minStartIntervalMs } = options;
  const queue = new Set<QueuedRow>();
  const inFlight = new Set<{ readonly at: number }>();
  let lastStartAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let transactions = 0;
  let rows = 0;
  let smoothedLatencyMs = 0;

  function copyAfterMs(): number {
    const latencyBasedMs = Math.min(COPY_AFTER_LATENCIES * smoothedLatencyMs, MAX_COPY_AFTER_MS);
    return Math.max(cfg.copyAfterMs, latencyBasedMs);
  }

  function isStalledAt(now: number): boolean {
    return [...inFlight].every((start) => now - start.at >= cfg.stallMs);
  }

  function waitBeforeNextMs(): number {
    const now = clock.now();
    const intervalLeftMs = lastStartAt + minStartIntervalMs() - now;
    if (inFlight.size === 0) return Math.max(0, intervalLeftMs);
    const latestStartAt = Math.max(...[...inFlight].map((start) => start.at));
    return Math.max(0, intervalLeftMs, latestStartAt + cfg.stallMs - now);
  }

  function schedule(): void {
    clearTimeout(timer);
    timer = undefined;
    if (queue.size === 0 || inFlight.size >= cfg.maxInFlight) return;
    const waitMs = waitBeforeNextMs();
    if (waitMs > 0) timer = setTimeout(schedule, Math.ceil(waitMs));
    else void runBatch(takeBatch());
  }

  /**
   * Removes the next batch from the queue. A batch has at most one write of each row, since all its
   * writes are in one transaction.
   */
  function takeBatch(): QueuedRow[] {
    const batch: QueuedRow[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    for (const entry of queue) {
      if (batch.length === cfg.batchRows) break;
      const fits = batch.length === 0 || bytes + entry.bytes <= cfg.batchBytes;
      if (!fits || keys.has(entry.write.key)) continue;
      batch.push(entry);
      keys.add(entry.write.key);
      bytes += entry.bytes;
    }
    for (const entry of batch) queue.delete(entry);
    return batch;
  }

  async function runBatch(batch: QueuedRow[]): Promise<void> {
    const start = { at: clock.now() };
    inFlight.add(start);
    lastStartAt = start.at;
    let remaining = batch;
    while (remaining.length > 0) remaining = await writeOnce(remaining);
    inFlight.delete(start);
    schedule();
  }

  /** Writes a batch. After a conflict it returns the other rows, which must be written again. */
  async function writeOnce(batch: QueuedRow[]): Promise<QueuedRow[]> {
    const token = newToken();
    const writes = batch.map(({ write }) => ({
      key: write.key,
      expectedVersion: write.expectedVersion,
      value: JSON.stringify({ ...write.value, writer: token }),
    }));
    transactions += 1;
    const startedAt = clock.now();
    const outcome = await settledWrite(table, writes, token, {
      deadlineAt: startedAt + cfg.settleMs,
      now: () => clock.now(),
      retryDelayMs: cfg.settleGapMs,
      copyAfterMs: copyAfterMs(),
    });
    smoothedLatencyMs += LATENCY_WEIGHT * (clock.now() - startedAt - smoothedLatencyMs);
    if (outcome.kind === 'conflict') return resolveConflicts(batch, outcome);
    for (const entry of batch) {
      if (outcome.kind === 'committed') {
        rows += 1;
        entry.resolve({ kind: 'committed', version: entry.write.expectedVersion + 1 });
      } else entry.resolve({ kind: outcome.kind });
    }
    return [];
  }

  function resolveConflicts(
    batch: QueuedRow[],
    outcome: { readonly conflicts: readonly string[]; readonly rows: readonly TableRow[] },
  ): QueuedRow[] {
    const conflicts = new Set(outcome.conflicts);
    const found = new Map(outcome.rows.map((row) => [row.key, row]));
    for (const { write, resolve } of batch) {
      if (conflicts.has(write.key)) resolve({ kind: 'conflict', row: found.get(write.key) });
    }
    return batch.filter(({ write }) => !conflicts.has(write.key));
  }

  return {
    submit(write) {
      if (queue.size >= cfg.maxQueued) {
        return { outcome: Promise.resolve({ kind: 'unavailable' }), withdraw: () => false };
      }
      const { promise, resolve } = withResolvers<RowOutcome>();
      const entry: QueuedRow = { write, bytes: JSON.stringify(write.value).length, resolve };
      queue.add(entry);
      // Deferred, so that all rows submitted in this turn of the event loop share a batch.
      setImmediate(schedule);
      return { outcome: promise, withdraw: () => queue.delete(entry) };
    },
    isStalled: () => inFlight.size >= cfg.maxInFlight && isStalledAt(clock.now()),
    counts: () => ({ transactions, rows, queued: queue.size }),
  };
}
