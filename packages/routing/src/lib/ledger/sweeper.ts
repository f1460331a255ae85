import {
  type ObjectStore,
  type TableRow,
  type TableService,
  settledWrite,
} from '@boragepoint/platform';
import * as v from 'valibot';

import { answerObjectKey, intentPrefix, parseIntent } from './intent-record.js';
import { type LedgerClock, systemClock } from './ledger-clock.js';

const HEX_RADIX = 16;
const FENCE_PREFIX = 'intent-fence';

function wholeNumber(min: number, max = Number.MAX_SAFE_INTEGER) {
  return v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max));
}

/** Limits of the removal of expired records. Times are in milliseconds. */
export const sweeperConfigSchema = v.strictObject({
  /**
   * Length of the hash prefix that one scan covers, in hex digits; a longer prefix has fewer rows.
   */
  digits: v.optional(wholeNumber(1, 6), 3),
  /** Scan interval. */
  everyMs: v.optional(wholeNumber(1), 1_000),
  /** Maximum number of records removed after one scan, in one transaction. */
  rows: v.optional(wholeNumber(1), 256),
  /** Time for which an expired record is kept; longer than any write may be delayed. */
  graceMs: v.optional(wholeNumber(0), 600_000),
  /** Time after which the outcome of a transaction counts as unsettled. */
  settleMs: v.optional(wholeNumber(1), 5_000),
});
export type SweeperConfigInput = v.InferInput<typeof sweeperConfigSchema>;

/** Options of {@link createSweeper}. */
export interface SweeperOptions {
  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly incarnation: string;
  /** Names of the services to sweep. */
  readonly services: () => readonly string[];
  /** Divides the work among routers; if two sweep the same prefix, only a scan is wasted. */
  readonly isResponsibleFor: (service: string, digits: string) => boolean;
  readonly clock?: LedgerClock;
  readonly config?: SweeperConfigInput;
}

/** Removes expired records at a bounded rate until it is disposed. */
export interface Sweeper extends AsyncDisposable {
  /** Scans one hash prefix and removes expired records; returns the number of removed records. */
  sweep(service: string, digits: string): Promise<number>;
}

/**
 * Creates a sweeper. A row that is inserted again after its removal starts at version 1, so a
 * delayed removal could delete a later record of the same key. Each removal therefore also
 * increments the version of a fence row that was read before the scan. If the transaction commits,
 * no row of the hash prefix has been removed since, so the expected versions still belong to the
 * scanned records.
 *
 * A single wrong wall clock can't remove records too early: a record counts as expired only when a
 * later record of another instance shows that the clock of that instance has passed the time as
 * well.
 */
export function createSweeper(options: SweeperOptions): Sweeper {
  const { table, objects, incarnation, services, isResponsibleFor } = options;
  const clock = options.clock ?? systemClock;
  const cfg = v.parse(sweeperConfigSchema, options.config ?? {});
  const prefixesPerService = HEX_RADIX ** cfg.digits;
  let transactions = 0;
  let nextPrefixIndex = 0;
  let currentSweep: Promise<unknown> | undefined;

  /**
   * Returns the rows that are expired by this clock and by the latest start at another instance.
   */
  function expiredRows(rows: readonly TableRow[]): TableRow[] {
    const parsed = rows.map((row) => ({ row, record: parseIntent(row) }));
    const otherStartTimesMs = parsed
      .filter(({ record }) => record !== undefined && record.keeper !== incarnation)
      .map(({ record }) => record?.startedAtMs ?? 0);
    const latestOtherStartMs = otherStartTimesMs.reduce((latest, it) => Math.max(latest, it), 0);
    const cutoffMs = Math.min(clock.wallNow(), latestOtherStartMs) - cfg.graceMs;
    return parsed
      .filter(({ record }) => record !== undefined && record.expiresAtMs < cutoffMs)
      .map(({ row }) => row);
  }

  /** Removes the object of a record, which must succeed before the row may be removed. */
  async function removeObject(row: TableRow): Promise<boolean> {
    const record = parseIntent(row);
    if (record === undefined) return false;
    const { outcome, run } = record;
    const isInline = outcome.state === 'done' && outcome.answer.body.in === 'row';
    if (isInline || outcome.state === 'not-run') return true;
    return (await objects.delete(answerObjectKey(row.key, run))).isOk();
  }

  async function sweep(service: string, digits: string): Promise<number> {
    const fenceKey = `${FENCE_PREFIX}/${service}/${digits}`;
    const fence = await table.read([fenceKey]);
    const scan = await table.scan(intentPrefix(service, digits));
    if (fence.isErr() || scan.isErr()) return 0;
    const removable: TableRow[] = [];
    for (const row of expiredRows(scan.value).slice(0, cfg.rows)) {
      if (await removeObject(row)) removable.push(row);
    }
    if (removable.length === 0) return 0;
    return removeRows(removable, fenceKey, fence.value[0]?.version ?? 0);
  }

  async function removeRows(
    rows: readonly TableRow[],
    fenceKey: string,
    fenceVersion: number,
  ): Promise<number> {
    const token = `${incarnation}:sweep-${++transactions}`;
    const value = JSON.stringify({ writer: token });
    const writes = [
      { key: fenceKey, expectedVersion: fenceVersion, value },
      ...rows.map((row) => ({ key: row.key, expectedVersion: row.version, value: null })),
    ];
    const deadlineAt = clock.now() + cfg.settleMs;
    const outcome = await settledWrite(table, writes, token, {
      deadlineAt,
      now: () => clock.now(),
    });
    return outcome.kind === 'committed' ? rows.length : 0;
  }

  async function sweepNext(): Promise<number> {
    const names = services();
    for (let tried = 0; tried < prefixesPerService * names.length; tried += 1) {
      const index = nextPrefixIndex++ % (prefixesPerService * names.length);
      const service = names[Math.floor(index / prefixesPerService)];
      const digits = (index % prefixesPerService).toString(HEX_RADIX).padStart(cfg.digits, '0');
      if (service !== undefined && isResponsibleFor(service, digits)) return sweep(service, digits);
    }
    return 0;
  }

  const timer = setInterval(() => {
    currentSweep ??= sweepNext().finally(() => {
      currentSweep = undefined;
    });
  }, cfg.everyMs);
  timer.unref();

  return {
    sweep,
    async [Symbol.asyncDispose]() {
      clearInterval(timer);
      await currentSweep;
    },
  };
}
