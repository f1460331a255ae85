import { setTimeout as sleep } from 'node:timers/promises';

import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';
import type { RowChanges, RowSnapshot, RowStore, StoredRow } from './row-store.js';

/** Longest time that the store holds a watch without a change. */
const WATCH_WAIT_MS = 4_000;
/** Pause after changes, so that several are fetched with one call, in milliseconds. */
const GATHER_MS = 500;
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 800;

/** Receives what a watched table holds. */
export interface RowWatcher {
  /** All rows, after the first read and after each gap. */
  onSnapshot(snapshot: RowSnapshot): void;
  onChange(row: StoredRow): void;
  onRemoval(key: string): void;
  /** The store stopped answering the watch. */
  onLost(err: PlatformError): void;
  /** The store answers the watch again. */
  onRegained(loss: WatchLoss): void;
}

/** A time during which a watch got no answer. */
export interface WatchLoss {
  /** Tries that failed. */
  readonly tries: number;
  /** From the last answer before it to the first one after it, in milliseconds. */
  readonly forMs: number;
  /** The error of the last try. */
  readonly lastError: PlatformError;
}

function apply(changes: Extract<RowChanges, { kind: 'changes' }>, watcher: RowWatcher): void {
  for (const change of changes.changes) {
    if ('removed' in change) watcher.onRemoval(change.key);
    else watcher.onChange(change);
  }
}

/**
 * Watches a table until the signal aborts: one long poll at a time, and the whole table again after a
 * gap. Versions never go back: an older snapshot is dropped.
 */
export async function watchRows(
  store: RowStore,
  table: string,
  watcher: RowWatcher,
  signal: AbortSignal,
): Promise<void> {
  let version: number | undefined;
  let newest = 0;
  let retryMs = 0;
  let tries = 0;
  let lastError: PlatformError | undefined;
  let answeredAt = performance.now();

  async function poll(): Promise<Result<unknown, PlatformError>> {
    if (version === undefined) {
      const snapshot = await store.list(table);
      return snapshot.map((it) => {
        if (signal.aborted || it.version < newest) return;
        newest = it.version;
        version = it.version;
        watcher.onSnapshot(it);
      });
    }
    // A store that was lost is asked for an answer at once: a long poll would notice its return late.
    const waitMs = retryMs > 0 ? 0 : WATCH_WAIT_MS;
    const answer = await store.changesAfter(table, version, waitMs);
    return answer.map((it) => {
      if (signal.aborted) return;
      if (it.kind === 'history-lost') {
        version = undefined;
        return;
      }
      apply(it, watcher);
      newest = Math.max(newest, it.version);
      version = newest;
    });
  }

  const pause = (ms: number) => sleep(ms, undefined, { signal }).catch(() => undefined);

  while (!signal.aborted) {
    const wasFollowing = version !== undefined;
    const polled = await poll();
    if (polled.isOk()) {
      // After a gap nothing is known until the whole table has been read.
      if (wasFollowing && version === undefined) continue;
      const now = performance.now();
      if (lastError) watcher.onRegained({ tries, forMs: now - answeredAt, lastError });
      answeredAt = now;
      lastError = undefined;
      retryMs = 0;
      tries = 0;
      await pause(GATHER_MS);
      continue;
    }
    if (!lastError) watcher.onLost(polled.error);
    lastError = polled.error;
    tries += 1;
    retryMs = Math.min(MAX_RETRY_MS, Math.max(FIRST_RETRY_MS, retryMs * 2));
    const jitter = 1 + Math.random();
    await pause((retryMs * jitter) / 2);
  }
}
