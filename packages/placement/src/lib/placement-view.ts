import { findRange } from './key-range.js';
import type { Placement } from './placement-record.js';

/** A range as routers use it. */
export interface RangeView {
  readonly first: number;
  readonly last: number;
  /** Server that owns the range; `undefined` while nobody does. */
  readonly owner: string | undefined;
  /** The owner may serve; false while the range is changing hands. */
  readonly granted: boolean;
}

/** The placement of all partitioned services at one moment. */
export interface PlacementView {
  readonly epoch: number;
  readonly change: number;
  readonly services: ReadonlyMap<string, readonly RangeView[]>;
}

/** The view before any placement is known. */
export const NO_PLACEMENT: PlacementView = { epoch: 0, change: 0, services: new Map() };

/** Returns whether a view is newer than another. */
export function isNewer(a: PlacementView, b: PlacementView): boolean {
  return a.epoch > b.epoch || (a.epoch === b.epoch && a.change > b.change);
}

/** The view that a stored placement gives. */
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

/** A view with changes laid over it; changes of another epoch don't fit and are left out. */
export function withChanges(view: PlacementView, changes: PlacementView): PlacementView {
  if (changes.epoch !== view.epoch) return view;
  const services = new Map(view.services);
  for (const [service, ranges] of changes.services) {
    services.set(service, overlayRanges(services.get(service) ?? [], ranges));
  }
  return { ...changes, services };
}

/** Finds the range of a key. */
export function rangeOf(view: PlacementView, service: string, key: number): RangeView | undefined {
  return findRange(view.services.get(service) ?? [], key);
}

/** Lays changed ranges over known ones; what they cover only in part keeps its rest. Both are sorted. */
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
