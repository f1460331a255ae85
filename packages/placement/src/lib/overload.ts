import type { KeySpan } from '@boragepoint/platform';

import type { LoadMap } from './load-map.js';
import type { PlannedServer } from './plan-moves.js';

/** Demand over capacity from which routers are told; below it they decide by the queues that answers show. */
const OVERLOAD_RATIO = 4;
/** Requests sent on, over capacity: queues decide among them. */
const ADMITTED_RATIO = 2;
/** A router that gets this many answers a second from an owner sees its queue in them. */
const MIN_ANSWERS_PER_S = 0.5;
/** Fewest requests a second that are judged: below it, chance decides. */
const MIN_DEMAND_PER_S = 4;
/** Relative change of a share that is worth telling. */
const MIN_SHARE_CHANGE = 0.25;

/** A range that a server owns. */
export interface OwnedRange extends KeySpan {
  readonly owner: string | undefined;
}

/** Shares of requests that routers send on, by server; the servers that are missing take all. */
export type AdmittedShares = ReadonlyMap<string, number>;

/**
 * Finds owners that are asked for more than they can run, as happens when one key is hot, and by so many
 * routers that each hears too rarely from the owner to know its queue. `recent` forgets fast.
 */
export function findOverloads(
  servers: readonly PlannedServer[],
  ranges: readonly OwnedRange[],
  recent: LoadMap,
  routers: number,
): AdmittedShares {
  const demands = new Map<string, number>();
  for (const range of ranges) {
    if (range.owner === undefined) continue;
    const weight = recent.within(range).reduce((sum, it) => sum + it.weight, 0);
    demands.set(range.owner, (demands.get(range.owner) ?? 0) + recent.perSecond(weight));
  }
  const shares = new Map<string, number>();
  for (const { id, capacity } of servers) {
    const demand = demands.get(id) ?? 0;
    const isQueueVisible = capacity / routers >= MIN_ANSWERS_PER_S;
    const isOverloaded = demand >= MIN_DEMAND_PER_S && demand > capacity * OVERLOAD_RATIO;
    if (isOverloaded && !isQueueVisible) shares.set(id, (capacity * ADMITTED_RATIO) / demand);
  }
  return shares;
}

/** Returns whether routers should be told of other shares than the ones they know. */
export function isSignificantChange(known: AdmittedShares, found: AdmittedShares): boolean {
  const servers = new Set([...known.keys(), ...found.keys()]);
  return [...servers].some((it) => {
    const [before, after] = [known.get(it) ?? 1, found.get(it) ?? 1];
    return Math.abs(after - before) > before * MIN_SHARE_CHANGE;
  });
}
