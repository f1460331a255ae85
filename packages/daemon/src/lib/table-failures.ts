import type { TableService } from '@boragepoint/platform';

/** Wraps a table service so that `onFailure` is called after each failed call. */
export function reportTableFailures(table: TableService, onFailure: () => void): TableService {
  async function reportFailure<T extends { isErr(): boolean }>(call: Promise<T>): Promise<T> {
    const result = await call;
    if (result.isErr()) onFailure();
    return result;
  }
  return {
    read: (keys) => reportFailure(table.read(keys)),
    scan: (prefix) => reportFailure(table.scan(prefix)),
    transact: (writes) => reportFailure(table.transact(writes)),
  };
}
