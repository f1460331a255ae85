import {
  PlatformError,
  type ObjectStore,
  type TableService,
  type TableWrite,
} from '@boragepoint/platform';
import { err, ok } from 'neverthrow';

/**
 * What happens to one transaction. `answered` executes it, and `refused` rejects it without effect.
 * `lost-before` and `lost-after` lose the answer, before or after the commit; `delayed` loses the
 * answer and executes the transaction in `deliverDelayed`.
 */
export type TransactionFault = 'answered' | 'refused' | 'lost-before' | 'lost-after' | 'delayed';

export const TRANSACTION_FAULTS: readonly TransactionFault[] = [
  'answered',
  'refused',
  'lost-before',
  'lost-after',
  'delayed',
];

/** Creates a table that injects the faults returned by `nextFault` into transactions. */
export function createFaultyTable(table: TableService, nextFault: () => TransactionFault) {
  let delayed: (readonly TableWrite[])[] = [];
  let transactions = 0;

  const faulty: TableService = {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    async transact(writes) {
      transactions += 1;
      const fault = nextFault();
      if (fault === 'answered') return table.transact(writes);
      if (fault === 'refused') return err(new PlatformError('refused', false));
      if (fault === 'lost-after') await table.transact(writes);
      if (fault === 'delayed') delayed.push(writes);
      return err(new PlatformError('lost', true));
    },
  };
  return {
    ...faulty,
    transactions: () => transactions,
    /** Executes the delayed transactions. */
    async deliverDelayed() {
      const arriving = delayed;
      delayed = [];
      for (const writes of arriving) await table.transact(writes);
    },
  };
}

/** Creates a table that can be disconnected permanently; later calls never settle. */
export function createDisconnectableTable(table: TableService) {
  let isDisconnected = false;
  const never = new Promise<never>(() => undefined);
  const whileConnected = <T>(call: () => Promise<T>): Promise<T> =>
    isDisconnected ? never : call();
  const disconnectable: TableService = {
    read: (keys) => whileConnected(() => table.read(keys)),
    scan: (prefix) => whileConnected(() => table.scan(prefix)),
    transact: (writes) => whileConnected(() => table.transact(writes)),
  };
  const disconnect = () => {
    isDisconnected = true;
  };
  return { ...disconnectable, disconnect };
}

/** Creates an in-memory object store. */
export function createMemoryObjects() {
  const stored = new Map<string, Uint8Array>();
  const objects: ObjectStore = {
    put(key, body) {
      stored.set(key, body);
      return Promise.resolve(ok(undefined));
    },
    get: (key) => Promise.resolve(ok(stored.get(key))),
    delete(key) {
      stored.delete(key);
      return Promise.resolve(ok(undefined));
    },
  };
  return { ...objects, stored };
}
