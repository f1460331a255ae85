import {
  PlatformError,
  type ObjectStore,
  type TableService,
  type TableWrite,
} from '@boragepoint/platform';
import { err, ok } from 'neverthrow';

/** What happens to one transaction. */
export type Fate = 'answered' | 'refused' | 'lost-before' | 'lost-after' | 'delayed';

export const FATES: readonly Fate[] = [
  'answered',
  'refused',
  'lost-before',
  'lost-after',
  'delayed',
];

/** A table whose transactions meet the fates that `nextFate` returns. */
export function createFaultyTable(table: TableService, nextFate: () => Fate) {
  let delayed: (readonly TableWrite[])[] = [];
  let transactions = 0;

  const faulty: TableService = {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    async transact(writes) {
      transactions += 1;
      const fate = nextFate();
      if (fate === 'answered') return table.transact(writes);
      if (fate === 'refused') return err(new PlatformError('refused', false));
      if (fate === 'lost-after') await table.transact(writes);
      if (fate === 'delayed') delayed.push(writes);
      return err(new PlatformError('lost', true));
    },
  };
  return {
    ...faulty,
    transactions: () => transactions,
    /** Lets the delayed transactions arrive. */
    async land() {
      const landing = delayed;
      delayed = [];
      for (const writes of landing) await table.transact(writes);
    },
  };
}

/** A table whose user loses its connection for good: later calls never end. */
export function createSeverableTable(table: TableService) {
  let isCut = false;
  const never = new Promise<never>(() => undefined);
  const pass = <T>(call: () => Promise<T>): Promise<T> => (isCut ? never : call());
  const severable: TableService = {
    read: (keys) => pass(() => table.read(keys)),
    scan: (prefix) => pass(() => table.scan(prefix)),
    transact: (writes) => pass(() => table.transact(writes)),
  };
  const cut = () => {
    isCut = true;
  };
  return { ...severable, cut };
}

/** An object store inside this process. */
export function createMemoryObjects() {
  const held = new Map<string, Uint8Array>();
  const objects: ObjectStore = {
    put(key, body) {
      held.set(key, body);
      return Promise.resolve(ok(undefined));
    },
    get: (key) => Promise.resolve(ok(held.get(key))),
    delete(key) {
      held.delete(key);
      return Promise.resolve(ok(undefined));
    },
  };
  return { ...objects, held };
}
