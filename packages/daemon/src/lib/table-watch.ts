import type { TableService } from '@boragepoint/platform';

/** Wraps a table service so that each failed call is told at once. */
export function watchTable(table: TableService, onFailure: () => void): TableService {
  async function told<T extends { isErr(): boolean }>(call: Promise<T>): Promise<T> {
    const result = await call;
    if (result.isErr()) onFailure();
    return result;
  }
  return {
    read: (keys) => told(table.read(keys)),
    scan: (prefix) => told(table.scan(prefix)),
    transact: (writes) => told(table.transact(writes)),
  };
}
