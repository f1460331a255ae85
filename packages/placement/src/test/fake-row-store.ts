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
}

/** Creates an empty store; `now` is its clock in milliseconds. */
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
