import type { Result } from 'neverthrow';

import type { PlatformError } from './platform-error.js';
import { type TableReport, WATCH_WAIT_MS, createPollScheduler } from './poll-scheduler.js';
import { type RowDelta, type RowSource, type RowUpdate, createRowMirror } from './row-mirror.js';
import type { RowSnapshot, RowStore, StoredRow } from './row-store.js';
import { eraOf, inEra } from './eras.js';

/**
 * Time without an answer after which the whole table is read again, in milliseconds. The changes
 * that were missed may contain the same row many times, the table contains it once.
 */
const REREAD_AFTER_MS = 2_500;
/** Pause between two polls, so that one call fetches several changes, in milliseconds. */
const BATCH_PAUSE_MS = 500;
/** That pause, and the time for which the store may hold a poll, of a watch that is relied on. */
const RELAYED_POLL_MS = 400;
/** Longest time on the way of a change that the store sends without a pause, in milliseconds. */
const TRANSIT_MS = 100;
const FIRST_RETRY_DELAY_MS = 100;

/** Receives the contents of a watched table. */
export interface RowWatcher {
  /**
   * Called before the first rows of a new era: the store came back from an older copy, so that rows
   * may be missing or older than before until they are written again.
   */
  onReturn?(era: number): void;
  /** Called with all rows after the first read and after each gap in the change history. */
  onSnapshot(snapshot: RowSnapshot): void;
  onChange(row: StoredRow): void;
  onRemoval(key: string): void;
  /** Called once all changes and removals of one answer or update were passed on. */
  onApplied?(): void;
  /**
   * Called when a poll is given up before its answer is complete, because another router knows more
   * or can't be relied on any more; the store is polled anew.
   */
  onGivenUp?(err: PlatformError): void;
  /** Called when the store stops answering the watch. */
  onLost(err: PlatformError): void;
  /** Called when the store answers the watch again. */
  onRecovered(outage: WatchOutage): void;
}

/** A period in which the store did not answer a watch. */
export interface WatchOutage {
  /** Number of failed polls. */
  readonly tries: number;
  /** Time from the last answer before the outage to the first one after it, in milliseconds. */
  readonly forMs: number;
  /** Error of the last failed poll. */
  readonly lastError: PlatformError;
}

/** Options of a watch. */
export interface RowWatchOptions {
  readonly store: RowStore;
  readonly table: string;
  readonly watcher: RowWatcher;
  /** Source of rows while the store does not answer. */
  readonly fallback?: RowSource;
  /**
   * True if the router whose reports are passed to `applyReport` also delivers changes to
   * `applyUpdate`. The store is then polled only if a change fails to arrive or the reports stop.
   */
  readonly peerDeliversChanges?: boolean;
  /**
   * Pause between two polls while another router would report the loss of the store, in
   * milliseconds.
   */
  readonly peerWatchPauseMs?: () => number;
  /**
   * Returns whether other routers rely on this watch's reports. It then polls more often, so that
   * its reports never cover much less than the present.
   */
  readonly isRelayed?: () => boolean;
}

/** A watch of one table. */
export interface RowWatch {
  /**
   * Watches the table until the signal aborts, with one long poll at a time. The whole table is
   * read again after a gap in the change history. Changes older than the known version are ignored.
   */
  run(signal: AbortSignal): Promise<void>;
  /**
   * Rows changed after `version`, and the keys of all rows; `undefined` while the store does not
   * answer, or if nothing is newer.
   */
  deltaSince(version: number): RowDelta | undefined;
  /** Version up to which the table is known; 0 while the whole table has to be read. */
  knownVersion(): number;
  /**
   * Changes for a router that knows the table up to `version`; `undefined` while the store does not
   * answer, if nothing is newer, or if `version` is too old.
   */
  updateSince(version: number): RowUpdate | undefined;
  /** Applies changes from another router that follow a version known to this watch. */
  applyUpdate(update: RowUpdate): void;
  /** Takes note of another router's report, which allows longer polls. */
  applyReport(report: TableReport): void;
  /** Report of this watch for other routers. */
  tableReport(): TableReport;
  /**
   * Time up to which the watch knew all changes before the ones that are being applied, on the
   * monotonic clock: none of these can be older. -Infinity until the table has been read.
   */
  confirmedAt(): number;
}

/** Creates a watch of a table. */
export function createRowWatch(options: RowWatchOptions): RowWatch {
  const { store, table, watcher, fallback } = options;
  const mirror = createRowMirror();
  /** Version after which changes are requested; `undefined` if the whole table has to be read. */
  let version: number | undefined;
  /** Version up to which changes have been applied, whatever their source; never decreases. */
  let newestVersion = 0;
  /** Version of the latest applied change of the table; `newestVersion` may be higher. */
  let lastChangeVersion = 0;
  const scheduler = createPollScheduler({
    knownVersion: () => newestVersion,
    peerDeliversChanges: options.peerDeliversChanges === true,
  });
  let retryMs = 0;
  let tries = 0;
  /** Error of the last failed poll; `undefined` while the store answers. */
  let lastError: PlatformError | undefined;
  let answeredAt = performance.now();
  /** See {@link RowWatch.confirmedAt}. */
  let confirmedAt = -Infinity;
  /** True if another router delivered the changes since the last poll. */
  let wasDelivered = false;
  /** Time of the first retry after the store stopped answering. */
  let firstRetryAt: number | undefined;
  /** True if a new era became known since the last poll began. */
  let isEraNew = false;

  // Another call of this router may learn of a new era long before this watch's next poll.
  store.onEra(({ era }) => {
    if (newestVersion === 0 || era <= eraOf(newestVersion)) return;
    isEraNew = true;
    scheduler.pollNow();
  });

  /** Sets the newest known version; reports the first one of a new era. */
  function advanceTo(next: number): void {
    const era = eraOf(next);
    const isReturn = newestVersion > 0 && era > eraOf(newestVersion);
    newestVersion = next;
    if (!isReturn) return;
    isEraNew = false;
    lastChangeVersion = Math.max(lastChangeVersion, inEra(era, 0));
    watcher.onReturn?.(era);
  }

  function change(row: StoredRow): void {
    lastChangeVersion = Math.max(lastChangeVersion, row.version);
    mirror.put(row);
    watcher.onChange(row);
  }

  function remove(key: string, removalVersion: number): void {
    lastChangeVersion = Math.max(lastChangeVersion, removalVersion);
    mirror.remove(key, removalVersion);
    watcher.onRemoval(key);
  }

  function replaceAll(snapshot: RowSnapshot): void {
    const present = new Set(snapshot.rows.map((it) => it.key));
    for (const key of mirror.keys()) if (!present.has(key)) mirror.remove(key, snapshot.version);
    for (const row of snapshot.rows) {
      mirror.put(row);
      lastChangeVersion = Math.max(lastChangeVersion, row.version);
    }
    mirror.noteGap(snapshot.version);
    watcher.onSnapshot(snapshot);
  }

  /**
   * Time for which changes may have been missed, in milliseconds. The outage counts from at most
   * one poll's time before the first retry: a poll that was held for longer had no changes to
   * return until then.
   */
  function missedMs(): number {
    const now = performance.now();
    firstRetryAt ??= now;
    return now - Math.max(answeredAt, firstRetryAt - WATCH_WAIT_MS);
  }

  async function poll(signal: AbortSignal): Promise<Result<unknown, PlatformError>> {
    const wasAborted = scheduler.wasAborted();
    const pollSignal = scheduler.beginPoll();
    isEraNew = false;
    if (version === undefined) {
      const sentAt = performance.now();
      const snapshot = await store.list(table);
      return snapshot.map((it) => {
        if (signal.aborted || it.version < newestVersion) return;
        advanceTo(it.version);
        version = it.version;
        confirmOwnPolls(!wasDelivered || retryMs > 0);
        replaceAll(it);
        confirmedAt = Math.max(confirmedAt, sentAt);
      });
    }
    if (retryMs > 0 && missedMs() > REREAD_AFTER_MS) {
      version = undefined;
      return poll(signal);
    }
    // After an outage the store is polled without waiting: a long poll would detect its recovery
    // late.
    const isImmediate = retryMs > 0 || wasAborted || isPeerDelivering();
    const waitMs = isImmediate ? 0 : longestWaitMs();
    const sentAt = performance.now();
    const answer = await store.changesAfter(table, version, waitMs, pollSignal);
    return answer.map((it) => {
      if (signal.aborted) return;
      if (it.kind === 'history-lost') {
        version = undefined;
        return;
      }
      confirmOwnPolls(!wasDelivered && retryMs === 0);
      for (const changed of it.changes) {
        // Another router may have delivered this change and later ones in the meantime.
        if (changed.version <= newestVersion) continue;
        if ('removed' in changed) remove(changed.key, changed.version);
        else change(changed);
      }
      if (it.changes.length > 0) watcher.onApplied?.();
      newestVersion = Math.max(newestVersion, it.version);
      version = newestVersion;
      // Without a change, the store has held the poll for all its wait.
      const heldMs = it.changes.length === 0 ? waitMs : 0;
      confirmedAt = Math.max(confirmedAt, Math.min(sentAt + heldMs, performance.now()));
    });
  }

  /**
   * Raises the confirmed time before the changes of a poll are applied. While the watch polls without
   * a gap, a change is at most as old as the pause between two polls and its time on the way. How old
   * one is that was missed while the store did not answer can't be told; it counts as that new too.
   */
  function confirmOwnPolls(isGapless: boolean): void {
    wasDelivered = false;
    if (!isGapless) return;
    confirmedAt = Math.max(confirmedAt, performance.now() - pauseMs() - TRANSIT_MS);
  }

  /** Applies what the fallback source knows beyond this watch. */
  async function readFallback(signal: AbortSignal): Promise<void> {
    const delta = await fallback?.rowsSince(table, newestVersion);
    if (!delta || signal.aborted || delta.version <= newestVersion) return;
    const isFirst = newestVersion === 0;
    advanceTo(delta.version);
    version = delta.version;
    if (isFirst) {
      replaceAll({ rows: delta.changed, version: delta.version, nowMs: 0 });
      return;
    }
    const present = new Set(delta.keys);
    for (const key of mirror.keys()) if (!present.has(key)) remove(key, delta.version);
    for (const row of delta.changed) change(row);
    watcher.onApplied?.();
    mirror.noteGap(delta.version);
  }

  /** True while another router delivers changes, so that the store does not have to be polled. */
  const isPeerDelivering = () => options.peerDeliversChanges === true && scheduler.isPeerWatching();

  /**
   * Pause between two polls, in milliseconds. Each change costs a call of every router of a large
   * fleet. While another router would report the loss of the store, the pause can be longer, so
   * that one call fetches more changes.
   */
  function pauseMs(): number {
    if (options.isRelayed?.() === true) return RELAYED_POLL_MS;
    return scheduler.isPeerWatching()
      ? Math.max(BATCH_PAUSE_MS, options.peerWatchPauseMs?.() ?? 0)
      : BATCH_PAUSE_MS;
  }

  /** Time for which the store may hold a poll, in milliseconds. */
  function longestWaitMs(): number {
    const waitMs = scheduler.waitMs();
    return options.isRelayed?.() === true ? Math.min(RELAYED_POLL_MS, waitMs) : waitMs;
  }

  function noteAnswer(): void {
    const now = performance.now();
    if (lastError) watcher.onRecovered({ tries, forMs: now - answeredAt, lastError });
    answeredAt = now;
    lastError = undefined;
    firstRetryAt = undefined;
    retryMs = 0;
    tries = 0;
  }

  function noteFailure(err: PlatformError): void {
    if (!lastError) watcher.onLost(err);
    lastError = err;
    tries += 1;
    retryMs = Math.min(scheduler.maxRetryMs(), Math.max(FIRST_RETRY_DELAY_MS, retryMs * 2));
  }

  return {
    async run(signal) {
      while (!signal.aborted) {
        const wasFollowing = version !== undefined;
        const polled = await poll(signal);
        if (polled.isErr()) {
          // The scheduler aborted the poll, which is no failure of the store; the next poll does
          // not wait.
          if (scheduler.wasAborted() && (isEraNew || !lastError)) {
            watcher.onGivenUp?.(polled.error);
            continue;
          }
          noteFailure(polled.error);
          await readFallback(signal);
          const jitter = 1 + Math.random();
          await scheduler.pause((retryMs * jitter) / 2, signal);
          continue;
        }
        // After a gap in the history the store counts as recovered only once the whole table has
        // been read again.
        if (wasFollowing && version === undefined) continue;
        noteAnswer();
        if (isEraNew) continue;
        await scheduler.pause(pauseMs(), signal);
        if (!isPeerDelivering()) continue;
        wasDelivered = true;
        await scheduler.waitWhileDelivered(signal);
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
      watcher.onApplied?.();
      advanceTo(update.version);
      version = update.version;
    },
    applyReport(report) {
      scheduler.applyReport(report);
      const hasAll = report.version <= newestVersion && version !== undefined;
      if (hasAll && report.answers) confirmedAt = Math.max(confirmedAt, report.confirmedAt);
    },
    tableReport: () => ({
      answers: lastError === undefined && newestVersion > 0,
      version: lastChangeVersion,
      confirmedAt,
    }),
    confirmedAt: () => confirmedAt,
  };
}
