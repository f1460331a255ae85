import type { TableRow, TableWrite } from './table-service.js';

/** Returns the writer token in a row's JSON value, if there is one. */
export function writerOf(row: TableRow): string | undefined {
  try {
    const value: unknown = JSON.parse(row.value);
    if (typeof value !== 'object' || value === null || !('writer' in value)) return undefined;
    return typeof value.writer === 'string' ? value.writer : undefined;
  } catch {
    return undefined;
  }
}

/** What rows prove about a transaction that can no longer take effect. @internal */
export type Evidence = 'committed' | 'not-committed' | 'none';

/** What one row proves about a transaction that can no longer take effect. */
function evidenceOfRow(write: TableWrite, row: TableRow | undefined, token: string): Evidence {
  if (typeof write.value !== 'string') return 'none';
  if (row !== undefined && writerOf(row) === token) return 'committed';
  const version = row?.version ?? 0;
  const isUntouched = version === write.expectedVersion;
  const isWrittenByAnother = version === write.expectedVersion + 1;
  return isUntouched || isWrittenByAnother ? 'not-committed' : 'none';
}

/**
 * What all rows of a transaction prove: it took effect completely or not at all. A row below its
 * expected version shows a table that came back from an older copy, which may have forgotten the
 * transaction; only the token proves something then. Rows to delete may be gone for other reasons.
 * @internal
 */
export function evidenceOfRows(
  writes: readonly TableWrite[],
  rows: readonly TableRow[],
  token: string,
): Evidence {
  const byKey = new Map(rows.map((row) => [row.key, row]));
  const evidence = writes.map((write) => evidenceOfRow(write, byKey.get(write.key), token));
  if (evidence.includes('committed')) return 'committed';
  const isForgetful = writes.some(
    ({ key, expectedVersion, value }) =>
      value !== null && (byKey.get(key)?.version ?? 0) < expectedVersion,
  );
  if (isForgetful) return 'none';
  return evidence.includes('not-committed') ? 'not-committed' : 'none';
}
