import type { KeySpan } from '@boragepoint/platform';

import type { LoadMap } from './load-map.js';
import type { PlannedServer } from './plan-moves.js';

/**
 * Ratio of demand to capacity above which the leader limits admission. Below it, routers decide by
 * the queue lengths in the server's answers.
 */
const OVERLOAD_RATIO = 4;
/**
 * Ratio of admitted requests to capacity; above 1, so that the server's queue chooses among them.
 */
const ADMITTED_RATIO = 2;
/** Rate of answers per second and router from which a router knows the owner's queue by itself. */
const MIN_ANSWERS_PER_S = 0.5;
/** Requests per second below which demand is too noisy to judge. */
const MIN_DEMAND_PER_S = 4;
/** Relative change of a share from which routers are notified. */
const MIN_SHARE_CHANGE = 0.25;

/**
 * Returns whether each router gets so many answers of a server with this capacity that it knows the
 * server's queue by itself.
 */
export const isQueueVisible = (capacity: number, routers: number): boolean =>
  capacity / routers >= MIN_ANSWERS_PER_S;

/** A key range and the server that owns it, if any. */
export interface OwnedRange extends KeySpan {
  readonly owner: string | undefined;
}

/** Share of requests that routers forward, by server; 1 for servers that are missing. */
export type AdmittedShares = ReadonlyMap<string, number>;

/** Returns the requests per second for the keys of each owner. */
export function demandByOwner(
  ranges: readonly OwnedRange[],
  load: LoadMap,
): ReadonlyMap<string, number> {
  const demands = new Map<string, number>();
  for (const range of ranges) {
    if (range.owner === undefined) continue;
    const perSecond = load.perSecond(load.weightWithin(range));
    demands.set(range.owner, (demands.get(range.owner) ?? 0) + perSecond);
  }
  return demands;
}

/**
 * Finds owners whose demand exceeds their capacity, as a hot key causes, and to which so many
 * routers send that each gets too few answers to know the owner's queue. `recent` should have a
 * short half-life.
 */
export function findOverloads(
  servers: readonly PlannedServer[],
  ranges: readonly OwnedRange[],
  recent: LoadMap,
  routers: number,
): AdmittedShares {
  const demands = demandByOwner(ranges, recent);
  const shares = new Map<string, number>();
  for (const { id, capacity } of servers) {
    const demand = demands.get(id) ?? 0;
    const isOverloaded = demand >= MIN_DEMAND_PER_S && demand > capacity * OVERLOAD_RATIO;
    if (isOverloaded && !isQueueVisible(capacity, routers))
      shares.set(id, (capacity * ADMITTED_RATIO) / demand);
  }
  return shares;
}

/** Returns whether the shares changed enough to notify routers. */
export function isSignificantChange(known: AdmittedShares, found: AdmittedShares): boolean {
  const servers = new Set([...known.keys(), ...found.keys()]);
  return [...servers].some((it) => {
    const [before, after] = [known.get(it) ?? 1, found.get(it) ?? 1];
    return Math.abs(after - before) > before * MIN_SHARE_CHANGE;
  });
}
