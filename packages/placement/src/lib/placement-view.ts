import { findRange } from './key-range.js';
import type { Placement } from './placement-record.js';

/** A range as used for routing. */
export interface RangeView {
  readonly first: number;
  readonly last: number;
  /** Server that owns the range; `undefined` if it has no owner. */
  readonly owner: string | undefined;
  /** True if the owner may serve the range; false while it is handed over. */
  readonly granted: boolean;
}

/** The placement of all partitioned services at one moment. */
export interface PlacementView {
  readonly epoch: number;
  /** Number of the last change within the epoch. */
  readonly change: number;
  readonly services: ReadonlyMap<string, readonly RangeView[]>;
}

/** The empty view, used until a placement is known. */
export const NO_PLACEMENT: PlacementView = { epoch: 0, change: 0, services: new Map() };

/** Returns whether a view is newer than another. */
export function isNewer(a: PlacementView, b: PlacementView): boolean {
  return a.epoch > b.epoch || (a.epoch === b.epoch && a.change > b.change);
}

/** Returns the view of a stored placement. */
export function viewOf(placement: Placement): PlacementView {
  const services = [...placement.services].map(([service, ranges]) => {
    const views = ranges.map(({ first, last, owner, former }) => ({
      first,
      last,
      owner: owner?.incarnation.server,
      granted: former.length === 0,
    }));
    return [service, views] as const;
  });
  return {
    epoch: placement.leaderLease.epoch,
    change: placement.change,
    services: new Map(services),
  };
}

/** Applies changed ranges to a view; changes of another epoch are ignored. */
export function withChanges(view: PlacementView, changes: PlacementView): PlacementView {
  if (changes.epoch !== view.epoch) return view;
  const services = new Map(view.services);
  for (const [service, ranges] of changes.services) {
    services.set(service, overlayRanges(services.get(service) ?? [], ranges));
  }
  return { ...changes, services };
}

/** Finds the range that contains a key of a service. */
export function rangeOf(view: PlacementView, service: string, key: number): RangeView | undefined {
  return findRange(view.services.get(service) ?? [], key);
}

/**
 * Overlays changed ranges on known ones; a range that is covered in part keeps the rest. Both lists
 * must be in key order.
 */
export function overlayRanges(
  known: readonly RangeView[],
  changed: readonly RangeView[],
): RangeView[] {
  const kept: RangeView[] = [];
  for (const range of known) {
    let { first } = range;
    for (const it of changed) {
      if (it.last < first || it.first > range.last) continue;
      if (it.first > first) kept.push({ ...range, first, last: it.first - 1 });
      first = it.last + 1;
    }
    if (first <= range.last) kept.push({ ...range, first });
  }
  return [...kept, ...changed].sort((a, b) => a.first - b.first);
}
