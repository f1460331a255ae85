import {
  PlatformError,
  type PutOutcome,
  type RowStore,
  type StoredRow,
} from '@boragepoint/platform';
import { err, ok } from 'neverthrow';

/** What a fake store does with the next calls. */
export type StoreFault =
  | 'none'
  /** Does nothing and says so. */
  | 'away'
  /** Carries writes out and loses the answers. */
  | 'loses-answers'
  /** Neither answers writes nor carries them out until `deliverLate`. */
  | 'delays-writes';

/** A store in memory. */
export interface FakeRowStore extends RowStore {
  fault: StoreFault;
  rows: Map<string, StoredRow>;
  /** Carries out the writes that were delayed, where their condition still holds. */
  deliverLate(): void;
}

/** Creates an empty store whose steady clock is `now`. */
export function createFakeRowStore(now: () => number): FakeRowStore {
  const rows = new Map<string, StoredRow>();
  let version = 0;
  let late: (() => void)[] = [];

  function write(key: string, value: Uint8Array, expectedVersion: number): PutOutcome {
    const current = rows.get(key);
    if ((current?.version ?? 0) !== expectedVersion) return { kind: 'conflict', current };
    version += 1;
    rows.set(key, { key, version, value });
    return { kind: 'committed', version, nowMs: now() };
  }

  const store: FakeRowStore = {
    fault: 'none',
    rows,
    list() {
      if (store.fault === 'away') return Promise.resolve(err(new PlatformError('away', false)));
      return Promise.resolve(ok({ rows: [...rows.values()], version, nowMs: now() }));
    },
    changesAfter: () => Promise.resolve(err(new PlatformError('not watched', false))),
    put(_table, key, value, expectedVersion) {
      if (store.fault === 'away') return Promise.resolve(err(new PlatformError('away', false)));
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
