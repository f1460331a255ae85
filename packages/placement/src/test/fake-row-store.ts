import {
  PlatformError,
  type PutOutcome,
  type RowStore,
  type StoredRow,
  eraOf,
  inEra,
  withinEra,
} from '@boragepoint/platform';
import { err, ok } from 'neverthrow';

/** What a fake store does with the next calls. */
export type StoreFault =
  | 'none'
  /** Fails all calls without carrying them out. */
  | 'unavailable'
  /** Carries out writes, but their answers are lost. */
  | 'loses-answers'
  /** Writes get no answer and are carried out only by `deliverLate`. */
  | 'delays-writes';

/** An in-memory row store. */
export interface FakeRowStore extends RowStore {
  fault: StoreFault;
  rows: Map<string, StoredRow>;
  /** Carries out the delayed writes whose expected version still matches. */
  deliverLate(): void;
  /** The era of the store, which is part of all versions. */
  era: number;
  /** Keeps a copy; returns a function that makes the store come back from it, in a new era. */
  takeCopy(): () => void;
}

/** Creates an empty store; `now` is its clock in milliseconds. */
export function createFakeRowStore(now: () => number): FakeRowStore {
  const rows = new Map<string, StoredRow>();
  let version = 0;
  let late: (() => void)[] = [];

  function write(key: string, value: Uint8Array, expectedVersion: number): PutOutcome {
    const current = rows.get(key);
    // Like a real one, the store does not know the era in which the expected version was read.
    const isExpected = withinEra(current?.version ?? 0) === withinEra(expectedVersion);
    if (isExpected) {
      version += 1;
      rows.set(key, { key, version, value });
    }
    const { era } = store;
    if (eraOf(expectedVersion) !== era) return { kind: 'other-era', era, nowMs: now() };
    return isExpected
      ? { kind: 'committed', version, nowMs: now() }
      : { kind: 'conflict', current };
  }

  const store: FakeRowStore = {
    fault: 'none',
    era: 0,
    takeCopy() {
      const copied = new Map(rows);
      const counter = withinEra(version);
      return () => {
        store.era += 1;
        version = inEra(store.era, counter);
        rows.clear();
        for (const [key, row] of copied)
          rows.set(key, { ...row, version: inEra(store.era, withinEra(row.version)) });
      };
    },
    rows,
    onEra: () => undefined,
    list() {
      if (store.fault === 'unavailable')
        return Promise.resolve(err(new PlatformError('store unavailable', false)));
      return Promise.resolve(ok({ rows: [...rows.values()], version, nowMs: now() }));
    },
    changesAfter: () => Promise.resolve(err(new PlatformError('not watched', false))),
    put(_table, key, value, expectedVersion) {
      if (store.fault === 'unavailable')
        return Promise.resolve(err(new PlatformError('store unavailable', false)));
      if (store.fault === 'delays-writes') {
        late.push(() => write(key, value, expectedVersion));
        return Promise.resolve(err(new PlatformError('no answer', true)));
      }
      const outcome = write(key, value, expectedVersion);
      if (store.fault === 'loses-answers') {
        return Promise.resolve(err(new PlatformError('no answer', true)));
      }
      return Promise.resolve(ok(outcome));
    },
    deliverLate() {
      for (const deliver of late) deliver();
      late = [];
    },
  };
  return store;
}
