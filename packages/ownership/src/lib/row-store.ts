import { type TableRow, writerOf } from '@boragepoint/platform';
import * as v from 'valibot';

import type { KeyHasher } from './key-hash.js';
import { hasLowerEpochs } from './row-epochs.js';
import {
  type AssignRow,
  type ConfigRow,
  type KeeperRow,
  ROW_PREFIXES,
  assignRowSchema,
  configRowSchema,
  keeperRowSchema,
} from './table-rows.js';

/** A row whose value was parsed and checked against its schema. */
export interface VersionedRow<T> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}

interface StoredRow extends VersionedRow<unknown> {
  readonly text: string;
}

/** Called with the key of a row that has a new version. */
export type RowListener = (key: string) => void;

/**
 * Rows that this router knows, from the table or from peers. Neither the version of a row nor its
 * epochs ever decrease.
 */
export interface RowStore {
  /**
   * Stores a row; false when it is not newer than the stored one, gives out epochs again, or is
   * malformed.
   */
  offer(row: TableRow): boolean;
  /**
   * True when the row is no older than the stored one but was written by a router that did not know
   * that one: it has the same version and another writer, or gives out epochs again.
   */
  contradicts(row: TableRow): boolean;
  /** The row as the table had it. */
  stored(key: string): TableRow | undefined;
  config(key: string): VersionedRow<ConfigRow> | undefined;
  assign(key: string): VersionedRow<AssignRow> | undefined;
  keeper(key: string): VersionedRow<KeeperRow> | undefined;
  keys(prefix: string): string[];
  /** All rows whose version is above the one given; rows not named count as version 0. */
  newerThan(knownVersions: ReadonlyMap<string, number>): TableRow[];
  versions(): Map<string, number>;
  /** Digest of all keys and versions; equal on two routers that hold the same ones. */
  digest(): string;
  onChange(listener: RowListener): Disposable;
}

function parseValue(key: string, text: string): unknown {
  const json = JSON.parse(text) as unknown;
  if (key.startsWith(ROW_PREFIXES.config)) return v.parse(configRowSchema, json);
  if (key.startsWith(ROW_PREFIXES.assign)) return v.parse(assignRowSchema, json);
  if (key.startsWith(ROW_PREFIXES.keeper)) return v.parse(keeperRowSchema, json);
  throw new RangeError(`row key ${key} has an unknown prefix`);
}

/** Creates an empty row store. `onBadRow` is called for malformed rows. */
export function createRowStore(
  hasher: KeyHasher,
  onBadRow: (key: string, cause: unknown) => void,
): RowStore {
  const rows = new Map<string, StoredRow>();
  const listeners = new Set<RowListener>();
  let digest = 0n;

  /** Adds a row to the digest, or removes it: XOR is its own inverse. */
  function toggleInDigest(row: StoredRow): void {
    digest ^= hasher.score(row.key, String(row.version));
  }

  function rowAt<T>(key: string): VersionedRow<T> | undefined {
    return rows.get(key) as VersionedRow<T> | undefined;
  }

  function replace(row: StoredRow): void {
    const before = rows.get(row.key);
    if (before !== undefined) toggleInDigest(before);
    toggleInDigest(row);
    rows.set(row.key, row);
    for (const listener of [...listeners]) listener(row.key);
  }

  /** Parses a row; `undefined` when it is malformed, which is reported. */
  function parse({ key, version, value }: TableRow): StoredRow | undefined {
    try {
      return { key, version, text: value, value: parseValue(key, value) };
    } catch (cause) {
      onBadRow(key, cause);
      return undefined;
    }
  }

  function stored(key: string): TableRow | undefined {
    const row = rows.get(key);
    return row && { key, version: row.version, value: row.text };
  }

  return {
    offer(row) {
      const before = rows.get(row.key);
      if (before !== undefined && before.version >= row.version) return false;
      const parsed = parse(row);
      if (parsed === undefined) return false;
      if (before !== undefined && hasLowerEpochs(row.key, before.value, parsed.value)) return false;
      replace(parsed);
      return true;
    },
    contradicts(row) {
      const before = rows.get(row.key);
      const known = stored(row.key);
      if (before === undefined || known === undefined || row.version < before.version) return false;
      if (row.value === known.value) return false;
      if (row.version === before.version) return writerOf(row) !== writerOf(known);
      const parsed = parse(row);
      return parsed !== undefined && hasLowerEpochs(row.key, before.value, parsed.value);
    },
    stored,
    config: (key) => rowAt<ConfigRow>(key),
    assign: (key) => rowAt<AssignRow>(key),
    keeper: (key) => rowAt<KeeperRow>(key),
    keys: (prefix) => [...rows.keys()].filter((key) => key.startsWith(prefix)),
    newerThan(knownVersions) {
      const newer = [...rows.values()].filter(
        (row) => row.version > (knownVersions.get(row.key) ?? 0),
      );
      return newer.map(({ key, version, text }) => ({ key, version, value: text }));
    },
    versions: () => new Map([...rows.values()].map((row) => [row.key, row.version])),
    digest: () => digest.toString(16),
    onChange(listener) {
      listeners.add(listener);
      return {
        [Symbol.dispose]() {
          listeners.delete(listener);
        },
      };
    },
  };
}
