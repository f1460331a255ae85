import type { TableRow, TableService } from '@boragepoint/platform';
import { ok } from 'neverthrow';

/** Creates an in-memory table service for tests and benchmarks. @internal */
export function createMemoryTable(): TableService {
  const rows = new Map<string, TableRow>();
  const versionOf = (key: string) => rows.get(key)?.version ?? 0;
  return {
    read(keys) {
      const found = keys.map((key) => rows.get(key)).filter((row) => row !== undefined);
      return Promise.resolve(ok(found));
    },
    scan(prefix) {
      const found = [...rows.values()].filter((row) => row.key.startsWith(prefix));
      return Promise.resolve(ok(found.sort((a, b) => (a.key < b.key ? -1 : 1))));
    },
    transact(writes) {
      const stale = writes.filter(({ key, expectedVersion }) => versionOf(key) !== expectedVersion);
      if (stale.length > 0) {
        return Promise.resolve(ok({ committed: false, conflicts: stale.map(({ key }) => key) }));
      }
      for (const { key, expectedVersion, value } of writes) {
        if (value === null) rows.delete(key);
        else if (value !== undefined) rows.set(key, { key, version: expectedVersion + 1, value });
      }
      return Promise.resolve(ok({ committed: true }));
    },
  };
}
