import { type BalanceServer, byId, mayReceive } from './balance-types.js';
import { groupBy } from './group-by.js';

/** Owner of one shard. */
export interface ShardOwner {
  readonly shard: number;
  readonly owner: string;
}

/** Orders backend servers so that neighbours are in different availability zones. */
function interleaveZones(servers: readonly BalanceServer[]): BalanceServer[] {
  const zones = groupBy([...servers].sort(byId), (server) => server.availabilityZone);
  const queues = [...zones.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, members]) => members);
  const rounds = Math.max(0, ...queues.map((members) => members.length));
  return Array.from({ length: rounds }, (_, round) =>
    queues.flatMap((members) => members.slice(round, round + 1)),
  ).flat();
}

/**
 * Gives every shard from 0 to `shardCount - 1` an owner. Live and cold backend servers get numbers
 * of shards that differ by at most one. The result does not depend on the order of the servers.
 * Returns an empty list when no server can take shards.
 */
export function assignInitially(
  shardCount: number,
  servers: readonly BalanceServer[],
): ShardOwner[] {
  const order = interleaveZones(servers.filter(mayReceive));
  if (order.length === 0) return [];
  return Array.from({ length: shardCount }, (_, shard) => ({
    shard,
    owner: order[shard % order.length]?.id ?? '',
  }));
}
