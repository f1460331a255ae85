import {
  type PlannedServer,
  type PlanState,
  type WeightedShard,
  minBy,
  utilizationOf,
} from './plan-state.js';

/** A move that lowers the utilization of the busier of two servers. @internal */
export interface BalancingMove {
  readonly shard: WeightedShard;
  readonly from: string;
  readonly to: PlannedServer;
}

/** Least drop of the busier server's utilization that is worth a move, as a share of the mean. */
const MIN_GAIN = 0.005;

/** Utilization of the busier of two servers after a shard has moved between them. */
function utilizationAfter(shard: WeightedShard, from: PlannedServer, to: PlannedServer): number {
  const fromUtilization = (from.weight - shard.weight) / from.capacity;
  const toUtilization = (to.weight + shard.weight) / to.capacity;
  return Math.max(fromUtilization, toUtilization);
}

/**
 * Heaviest shard whose move leaves the source at or above the mean utilization, and the target at
 * or below it.
 */
function heaviestThatFits(
  movable: readonly WeightedShard[],
  from: PlannedServer,
  to: PlannedServer,
  mean: number,
): WeightedShard | undefined {
  const surplus = from.weight - mean * from.capacity;
  const room = mean * to.capacity - to.weight;
  const limit = Math.min(surplus, room);
  return minBy(
    movable.filter((it) => it.weight <= limit),
    (it) => -it.weight,
  );
}

function findBetween(
  from: PlannedServer,
  to: PlannedServer,
  mean: number,
  fixed: ReadonlySet<number>,
): BalancingMove | undefined {
  const movable = [...from.shards.values()].filter((it) => !fixed.has(it.shard));
  const shard =
    heaviestThatFits(movable, from, to, mean) ??
    minBy(movable, (it) => utilizationAfter(it, from, to));
  if (!shard) return undefined;
  const gain = utilizationOf(from) - utilizationAfter(shard, from, to);
  if (gain < mean * MIN_GAIN) return undefined;
  return { shard, from: from.server.id, to };
}

/**
 * Finds the next move: from the busiest server that has a shard worth moving to the least busy one.
 * @internal
 */
export function findBalancingMove(
  planState: PlanState,
  fixed: ReadonlySet<number>,
): BalancingMove | undefined {
  const mean = planState.meanUtilization();
  const to = planState.leastUtilized();
  if (!to) return undefined;
  const busiestFirst = [...planState.receivers].sort((a, b) => utilizationOf(b) - utilizationOf(a));
  for (const from of busiestFirst) {
    if (from === to || utilizationOf(from) <= mean) return undefined;
    const found = findBetween(from, to, mean, fixed);
    if (found) return found;
  }
  return undefined;
}
