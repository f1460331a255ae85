import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';
import { type TableReport, WATCH_WAIT_MS, createPollScheduler } from './poll-scheduler.js';
import { type RowDelta, type RowSource, type RowUpdate, createRowMirror } from './row-mirror.js';
import type { RowSnapshot, RowStore, StoredRow } from './row-store.js';

/** Time without an answer after which the table is read whole: it has each row once, its changes may be many. */
const REREAD_AFTER_MS = 2_500;
/** Pause after changes, so that several are fetched with one call, in milliseconds. */
const BATCH_PAUSE_MS = 500;
const FIRST_RETRY_MS = 100;

/** Receives what a watched table holds. */
export interface RowWatcher {
  /** All rows, after the first read and after each gap. */
  onSnapshot(snapshot: RowSnapshot): void;
  onChange(row: StoredRow): void;
  onRemoval(key: string): void;
  /** The store stopped answering the watch. */
  onLost(err: PlatformError): void;
  /** The store answers the watch again. */
  onRecovered(outage: WatchOutage): void;
}

/** A time during which a watch got no answer. */
export interface WatchOutage {
  /** Tries that failed. */
  readonly tries: number;
  /** From the last answer before it to the first one after it, in milliseconds. */
  readonly forMs: number;
  /** The error of the last try. */
  readonly lastError: PlatformError;
}

/** What a watch needs. */
export interface RowWatchOptions {
  readonly store: RowStore;
  readonly table: string;
  readonly watcher: RowWatcher;
  /** Asked while the store gives no answer. */
  readonly fallback?: RowSource;
  /** Whoever advises this watch also delivers changes: the store is asked only if these fail to come. */
  readonly peerDeliversChanges?: boolean;
  /** Pause after changes while others would tell of the store's end, in milliseconds. */
  readonly peerWatchPauseMs?: () => number;
}

/** A watch of one table. */
export interface RowWatch {
  /**
   * Watches until the signal aborts: one long poll at a time, and the whole table again after a gap.
   * Versions never go back: what is older than what is known is dropped.
   */
  run(signal: AbortSignal): Promise<void>;
  /** What became of the table; `undefined` while the store does not answer, and if nothing is newer. */
  deltaSince(version: number): RowDelta | undefined;
  /** Version up to which the table is known; 0 while it has to be read whole. */
  knownVersion(): number;
  /** What became of the table, for a router that knows it as of a version; `undefined` like `since`, or if too old. */
  updateSince(version: number): RowUpdate | undefined;
  /** Takes in what became of the table after a version that this watch knew. */
  applyUpdate(update: RowUpdate): void;
  /** Takes in what another router knows, which lets the store hold the watch for longer. */
  applyReport(report: TableReport): void;
  /** What this watch knows, as advice for others. */
  tableReport(): TableReport;
}

/** Creates a watch of a table. */
export function createRowWatch(options: RowWatchOptions): RowWatch {
  const { store, table, watcher, fallback } = options;
  const mirror = createRowMirror();
  /** Version from which the store is asked for changes; `undefined` if the whole table has to be read. */
  let version: number | undefined;
  let newestVersion = 0;
  /** Version of the newest change of this table. */
  let lastChangeVersion = 0;
  const scheduler = createPollScheduler(() => newestVersion);
  let retryMs = 0;
  let tries = 0;
  /** Error of the last try; `undefined` while the store answers. */
  let lastError: PlatformError | undefined;
  let answeredAt = performance.now();
  /** When the store was first tried again after it was lost. */
  let retriedSince: number | undefined;

  function change(row: StoredRow): void {
    lastChangeVersion = Math.max(lastChangeVersion, row.version);
    mirror.put(row);
    watcher.onChange(row);
  }

  function remove(key: string, removedBy: number): void {
    lastChangeVersion = Math.max(lastChangeVersion, removedBy);
    mirror.remove(key, removedBy);
    watcher.onRemoval(key);
  }

  function replaceAll(snapshot: RowSnapshot): void {
    const present = new Set(snapshot.rows.map((it) => it.key));
    for (const key of mirror.keys()) if (!present.has(key)) mirror.remove(key, snapshot.version);
    for (const row of snapshot.rows) mirror.put(row);
    mirror.noteGap(snapshot.version);
    lastChangeVersion = Math.max(lastChangeVersion, ...snapshot.rows.map((it) => it.version));
    watcher.onSnapshot(snapshot);
  }

  /** Time for which changes may have been missed: while a poll was held for longer there were none to tell. */
  function missedMs(): number {
    const now = performance.now();
    retriedSince ??= now;
    return now - Math.max(answeredAt, retriedSince - WATCH_WAIT_MS);
  }

  async function poll(signal: AbortSignal): Promise<Result<unknown, PlatformError>> {
    const wasAborted = scheduler.wasAborted();
    const pollSignal = scheduler.beginPoll();
    if (version === undefined) {
      const snapshot = await store.list(table);
      return snapshot.map((it) => {
        if (signal.aborted || it.version < newestVersion) return;
        newestVersion = it.version;
        version = it.version;
        replaceAll(it);
      });
    }
    if (retryMs > 0 && missedMs() > REREAD_AFTER_MS) {
      version = undefined;
      return poll(signal);
    }
    // A store that was lost is asked for an answer at once: a long poll would notice its return late.
    const isImmediate = retryMs > 0 || wasAborted || isPeerDelivering();
    const waitMs = isImmediate ? 0 : scheduler.waitMs();
    const answer = await store.changesAfter(table, version, waitMs, pollSignal);
    return answer.map((it) => {
      if (signal.aborted) return;
      if (it.kind === 'history-lost') {
        version = undefined;
        return;
      }
      for (const changed of it.changes) {
        // Another router may have told of it, and of later ones, since the store was asked.
        if (changed.version <= newestVersion) continue;
        if ('removed' in changed) remove(changed.key, changed.version);
        else change(changed);
      }
      newestVersion = Math.max(newestVersion, it.version);
      version = newestVersion;
    });
  }

  /** Takes over what another source knows beyond this watch. */
  async function readFallback(signal: AbortSignal): Promise<void> {
    const delta = await fallback?.rowsSince(table, newestVersion);
    if (!delta || signal.aborted || delta.version <= newestVersion) return;
    const isFirst = newestVersion === 0;
    newestVersion = delta.version;
    version = delta.version;
    if (isFirst) {
      replaceAll({ rows: delta.changed, version: delta.version, nowMs: 0 });
      return;
    }
    const present = new Set(delta.keys);
    for (const key of mirror.keys()) if (!present.has(key)) remove(key, delta.version);
    for (const row of delta.changed) change(row);
    mirror.noteGap(delta.version);
  }

  /** Changes are delivered, so that the store need not be asked for them. */
  const isPeerDelivering = () => options.peerDeliversChanges === true && scheduler.isPeerWatching();

  /** In a large fleet each change costs a call of each router, so that those without haste wait for more of them. */
  function pauseMs(): number {
    return scheduler.isPeerWatching()
      ? Math.max(BATCH_PAUSE_MS, options.peerWatchPauseMs?.() ?? 0)
      : BATCH_PAUSE_MS;
  }

  function noteAnswer(): void {
    const now = performance.now();
    if (lastError) watcher.onRecovered({ tries, forMs: now - answeredAt, lastError });
    answeredAt = now;
    lastError = undefined;
    retriedSince = undefined;
    retryMs = 0;
    tries = 0;
  }

  function noteFailure(err: PlatformError): void {
    if (!lastError) watcher.onLost(err);
    lastError = err;
    tries += 1;
    retryMs = Math.min(scheduler.maxRetryMs(), Math.max(FIRST_RETRY_MS, retryMs * 2));
  }

  return {
    async run(signal) {
      while (!signal.aborted) {
        const wasFollowing = version !== undefined;
        const polled = await poll(signal);
        if (polled.isErr()) {
          // The guide ended it, which says nothing of the store; the next poll asks for an answer at once.
          if (scheduler.wasAborted() && !lastError) continue;
          noteFailure(polled.error);
          await readFallback(signal);
          const jitter = 1 + Math.random();
          await scheduler.pause((retryMs * jitter) / 2, signal);
          continue;
        }
        // After a gap nothing is known until the whole table has been read.
        if (wasFollowing && version === undefined) continue;
        noteAnswer();
        await scheduler.pause(pauseMs(), signal);
        if (isPeerDelivering()) await scheduler.waitWhileDelivered(signal);
      }
      scheduler[Symbol.dispose]();
    },
    deltaSince(known) {
      if (lastError || newestVersion <= known) return undefined;
      return { version: newestVersion, ...mirror.deltaSince(known) };
    },
    knownVersion: () => (version === undefined ? 0 : newestVersion),
    updateSince(known) {
      if (lastError || lastChangeVersion <= known) return undefined;
      const update = mirror.updateSince(known);
      return update && { version: newestVersion, ...update };
    },
    applyUpdate(update) {
      if (version === undefined || update.version <= newestVersion) return;
      for (const key of update.removed) if (mirror.has(key)) remove(key, update.version);
      for (const row of update.changed) change(row);
      newestVersion = update.version;
      version = update.version;
    },
    applyReport(report) {
      scheduler.applyReport(report);
    },
    tableReport: () => ({
      answers: lastError === undefined && newestVersion > 0,
      version: lastChangeVersion,
    }),
  };
}
