import type { TableRow, TableService } from '@boragepoint/platform';
import { LRUCache } from 'lru-cache';

import type { GroupCommit } from './group-commit.js';
import { type IntentRecord, parseIntent } from './intent-record.js';
import type { LedgerClock } from './ledger-clock.js';
import type { LedgerConfig } from './ledger-config.js';

/** Size in bytes that a watched record counts for in addition to its body. */
const RECORD_BYTES = 1_024;
/** Maximum number of rows in one read. */
const READ_ROWS = 64;
/** Maximum number of records that one check reads. */
const CHECKED_RECORDS = 256;
/** Number of the newest records of one check that the next check reads again. */
const NEWEST_RECORDS = 8;

/** A record without the token of its transaction. */
export type WrittenRecord = Omit<IntentRecord, 'writer'>;

/** A record that was in the table at a version. */
interface WatchedRecord {
  readonly version: number;
  readonly record: WrittenRecord;
}

/** What became of the records that a table has forgotten. */
export interface RecordWatchCounts {
  /** Number of records that were written again. */
  readonly restored: number;
  /** Number of records in whose place another run is recorded. */
  readonly forgotten: number;
}

/**
 * Watches the latest records that this incarnation has written. A table that came back from an
 * older copy lacks them; they are then written again, so that a repeat elsewhere finds them.
 */
export interface RecordWatch extends AsyncDisposable {
  /** Notes a record that is in the table. */
  note(rowKey: string, version: number, record: WrittenRecord): void;
  /** Stops watching the record of a run, which another run may replace. */
  forget(rowKey: string, runToken: string): void;
  counts(): RecordWatchCounts;
}

/** Options of {@link createRecordWatch}. */
export interface RecordWatchOptions {
  readonly table: TableService;
  readonly commit: GroupCommit;
  readonly clock: LedgerClock;
  readonly cfg: LedgerConfig;
}

function sizeOf({ record: { outcome } }: WatchedRecord): number {
  const body = outcome.state === 'done' ? outcome.answer.body : undefined;
  return RECORD_BYTES + (body?.in === 'row' ? body.base64.length : 0);
}

/** True when the table no longer shows the record or a later one of its run. */
function isMissing({ version, record }: WatchedRecord, row: TableRow | undefined): boolean {
  if (row === undefined || row.version < version) return true;
  return parseIntent(row)?.run !== record.run;
}

/** True when the row belongs to another run, which was or may have been dispatched. */
function isOfAnotherRun({ record }: WatchedRecord, row: TableRow | undefined): boolean {
  if (row === undefined) return false;
  const found = parseIntent(row);
  return found?.run !== record.run && found?.outcome.state !== 'not-run';
}

/** Returns at most `max` of the items, evenly spaced. */
function evenlySpaced<T>(items: readonly T[], max: number): T[] {
  const step = Math.ceil(items.length / max);
  return items.filter((_, i) => i % step === 0);
}

/**
 * Creates a watch that checks the table at an interval. A check reads the newest records of the
 * check before and the records written since: a copy that is older than any of these lacks it.
 * @internal
 */
export function createRecordWatch(options: RecordWatchOptions): RecordWatch {
  const { table, commit, clock, cfg } = options;
  const watched = new LRUCache<string, WatchedRecord>({
    maxSize: cfg.watchBytes,
    sizeCalculation: sizeOf,
  });
  let writtenSinceCheck = new Set<string>();
  /** Keys of the newest records at the last check. */
  let newestChecked: readonly string[] = [];
  let restored = 0;
  let forgotten = 0;
  let currentCheck: Promise<void> | undefined;

  /** Returns the watched records that are missing, with the row found; `undefined` on a failure. */
  async function findMissing(keys: readonly string[]) {
    const read = await table.read(keys);
    if (read.isErr()) return undefined;
    const rows = new Map(read.value.map((row) => [row.key, row]));
    return keys.flatMap((key) => {
      const known = watched.peek(key);
      const row = rows.get(key);
      if (known === undefined || known.record.expiresAtMs < clock.wallNow()) return [];
      return isMissing(known, row) ? [{ key, known, row }] : [];
    });
  }

  async function restore(
    key: string,
    known: WatchedRecord,
    row: TableRow | undefined,
  ): Promise<void> {
    if (watched.peek(key) !== known) return;
    if (isOfAnotherRun(known, row)) {
      forgotten += 1;
      watched.delete(key);
      return;
    }
    const { record } = known;
    const write = { key, expectedVersion: row?.version ?? 0, value: record };
    const outcome = await commit.submit(write).outcome;
    if (outcome.kind !== 'committed') return;
    restored += 1;
    if (watched.peek(key) === known) watched.set(key, { version: outcome.version, record });
  }

  async function restoreMissing(): Promise<void> {
    const keys = [...watched.keys()];
    for (let first = 0; first < keys.length; first += READ_ROWS) {
      const missing = await findMissing(keys.slice(first, first + READ_ROWS));
      if (missing === undefined) return;
      await Promise.all(missing.map((it) => restore(it.key, it.known, it.row)));
    }
  }

  /** True when the table shows all the records; false when it forgot some or can't be read. */
  async function isComplete(keys: readonly string[]): Promise<boolean> {
    for (let first = 0; first < keys.length; first += READ_ROWS) {
      const missing = await findMissing(keys.slice(first, first + READ_ROWS));
      if (missing === undefined) return false;
      if (missing.length === 0) continue;
      await restoreMissing();
      return false;
    }
    return true;
  }

  async function check(): Promise<void> {
    const newest = [...watched.keys()].slice(0, NEWEST_RECORDS);
    const written = writtenSinceCheck;
    writtenSinceCheck = new Set();
    const keys = [...evenlySpaced([...written], CHECKED_RECORDS), ...newestChecked];
    if (await isComplete(keys)) newestChecked = newest;
    else writtenSinceCheck = new Set([...written, ...writtenSinceCheck]);
  }

  const timer = setInterval(() => {
    currentCheck ??= check().finally(() => {
      currentCheck = undefined;
    });
  }, cfg.watchEveryMs);
  timer.unref();

  return {
    note(rowKey, version, record) {
      watched.set(rowKey, { version, record });
      writtenSinceCheck.add(rowKey);
    },
    forget(rowKey, runToken) {
      if (watched.peek(rowKey)?.record.run === runToken) watched.delete(rowKey);
    },
    counts: () => ({ restored, forgotten }),
    async [Symbol.asyncDispose]() {
      clearInterval(timer);
      await currentCheck;
    },
  };
}
