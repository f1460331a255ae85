import type { RowSnapshot, StoredRow } from '@boragepoint/platform';

import { PLACEMENT_KEY } from './placement-record.js';

/**
 * Returns the key of the placement's row in an era of the store. Each era has a row of its own, so
 * that a write of an earlier era that is carried out late changes no row of a later one.
 */
export function placementKey(era: number): string {
  return era === 0 ? PLACEMENT_KEY : `${PLACEMENT_KEY}@${era}`;
}

/** Returns the era of a placement's row; `undefined` for another row. */
function eraOfKey(key: string): number | undefined {
  const [name, era = '0'] = key.split('@');
  return name === PLACEMENT_KEY && key === placementKey(Number(era)) ? Number(era) : undefined;
}

/** The rows of placements in a table. */
export interface PlacementRows {
  /** The row of the present era. */
  readonly present: StoredRow | undefined;
  /** The row of the latest earlier era. */
  readonly earlier: StoredRow | undefined;
}

/** Finds the rows of placements in an era. */
export function findPlacementRows({ rows }: RowSnapshot, era: number): PlacementRows {
  const earlier = rows
    .filter((it) => (eraOfKey(it.key) ?? era) < era)
    .sort((a, b) => (eraOfKey(b.key) ?? 0) - (eraOfKey(a.key) ?? 0));
  return { present: rows.find((it) => it.key === placementKey(era)), earlier: earlier[0] };
}
