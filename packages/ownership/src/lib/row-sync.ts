import type { TableRow, TableService } from '@boragepoint/platform';

import type { RowStore } from './row-store.js';
import { ROW_PREFIXES } from './table-rows.js';

/**
 * How a row of the table contradicts what this router knows:
 * - `forgotten`: it has a lower version than one that this router knew before the read, or is gone;
 * - `other-history`: it has the same version with another writer, or a higher one with lower epochs.
 */
export type RegressionKind = 'forgotten' | 'other-history';

/** A row that shows that the table came back from an older copy. */
export interface RegressedRow {
  readonly key: string;
  readonly kind: RegressionKind;
  readonly knownVersion: number;
  /** Version that the table has; 0 when the row is gone. */
  readonly foundVersion: number;
}

/**
 * Outcome of one read of all rows: `forgetful` when rows contradict what is known, so that the
 * table can't be relied on for decisions about ownership.
 */
export type RowSyncOutcome = 'complete' | 'forgetful' | 'failed';

/** Reads all shared rows into the row store, and writes back rows that the table has forgotten. */
export interface RowSync {
  poll(): Promise<RowSyncOutcome>;
}

/**
 * Creates the reader. `onRegressed` is called after each read that shows such rows.
 *
 * A forgotten row is written back with the value that was acknowledged, until it has the version
 * that was acknowledged. So the table is what it was, and all routers that know more take part in
 * that: each adds what the others did not know. Rows with another history are left alone.
 */
export function createRowSync(
  table: TableService,
  rows: RowStore,
  onRegressed: (regressed: readonly RegressedRow[]) => void,
): RowSync {
  function findRegressed(
    knownVersions: ReadonlyMap<string, number>,
    found: readonly TableRow[],
  ): RegressedRow[] {
    const foundByKey = new Map(found.map((row) => [row.key, row]));
    const forgotten = [...knownVersions].flatMap(([key, knownVersion]): RegressedRow[] => {
      const foundVersion = foundByKey.get(key)?.version ?? 0;
      return foundVersion < knownVersion
        ? [{ key, kind: 'forgotten', knownVersion, foundVersion }]
        : [];
    });
    const others = found.filter((row) => rows.contradicts(row));
    const otherHistories = others.map(({ key, version }): RegressedRow => ({
      key,
      kind: 'other-history',
      knownVersion: knownVersions.get(key) ?? 0,
      foundVersion: version,
    }));
    return [...forgotten, ...otherHistories];
  }

  /** Writes a row back; ends early when another router writes it too, or the table fails. */
  async function writeBack({ key, kind, foundVersion }: RegressedRow): Promise<void> {
    const known = rows.stored(key);
    if (kind !== 'forgotten' || known === undefined) return;
    for (let version = foundVersion; version < known.version; version += 1) {
      const write = { key, expectedVersion: version, value: known.value };
      const written = await table.transact([write]);
      if (written.isErr() || !written.value.committed) return;
    }
  }

  /** True for a row that decisions about ownership rest on. */
  function isOwnershipRow({ key, kind }: RegressedRow): boolean {
    return kind === 'forgotten' || !key.startsWith(ROW_PREFIXES.config);
  }

  return {
    async poll() {
      const knownVersions = rows.versions();
      const prefixes = Object.values(ROW_PREFIXES);
      const scans = await Promise.all(prefixes.map((prefix) => table.scan(prefix)));
      if (scans.some((it) => it.isErr())) return 'failed';
      const found = scans.flatMap((it) => it.unwrapOr([]));
      for (const row of found) rows.offer(row);
      const regressed = findRegressed(knownVersions, found);
      if (regressed.length === 0) return 'complete';
      onRegressed(regressed);
      await Promise.all(regressed.map(writeBack));
      return regressed.some(isOwnershipRow) ? 'forgetful' : 'complete';
    },
  };
}
