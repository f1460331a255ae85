import { type PlacedServer, type Placement, type WeighedShard, minBy, useOf } from './placement.js';

/** A move that lowers the use of the busier of two servers. @internal */
export interface BalancingMove {
  readonly shard: WeighedShard;
  readonly from: string;
  readonly to: PlacedServer;
}

/** Least drop of the busier server's use that is worth a move, as a share of the mean use. */
const MIN_GAIN = 0.005;

/** Use of the busier of two servers after a shard has moved between them. */
function useAfter(shard: WeighedShard, from: PlacedServer, to: PlacedServer): number {
  const fromUse = (from.weight - shard.weight) / from.capacity;
  const toUse = (to.weight + shard.weight) / to.capacity;
  return Math.max(fromUse, toUse);
}

/** Heaviest shard that neither empties the giver nor fills the taker beyond the mean. */
function heaviestThatFits(
  movable: readonly WeighedShard[],
  from: PlacedServer,
  to: PlacedServer,
  mean: number,
): WeighedShard | undefined {
  const surplus = from.weight - mean * from.capacity;
  const room = mean * to.capacity - to.weight;
  const limit = Math.min(surplus, room);
  return minBy(
    movable.filter((it) => it.weight <= limit),
    (it) => -it.weight,
  );
}

function findBetween(
  from: PlacedServer,
  to: PlacedServer,
  mean: number,
  fixed: ReadonlySet<number>,
): BalancingMove | undefined {
  const movable = [...from.shards.values()].filter((it) => !fixed.has(it.shard));
  const shard =
    heaviestThatFits(movable, from, to, mean) ?? minBy(movable, (it) => useAfter(it, from, to));
  if (!shard) return undefined;
  const gain = useOf(from) - useAfter(shard, from, to);
  if (gain < mean * MIN_GAIN) return undefined;
  return { shard, from: from.server.id, to };
}

/**
 * Finds the next move: from the busiest server that has a shard worth moving to the least busy one.
 * @internal
 */
export function findBalancingMove(
  placement: Placement,
  fixed: ReadonlySet<number>,
): BalancingMove | undefined {
  const mean = placement.meanUse();
  const to = placement.leastUsed();
  if (!to) return undefined;
  const busiestFirst = [...placement.receivers].sort((a, b) => useOf(b) - useOf(a));
  for (const from of busiestFirst) {
    if (from === to || useOf(from) <= mean) return undefined;
    const found = findBetween(from, to, mean, fixed);
    if (found) return found;
  }
  return undefined;
}
