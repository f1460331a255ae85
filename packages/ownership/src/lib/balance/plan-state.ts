import { type BalanceServer, type ShardLoad, byId, mayReceive } from './balance-types.js';

/** Share of the mean load added to each shard's weight, so that idle shards spread evenly too. */
const IDLE_SHARE = 0.05;
/** Share of its slots that counts as the capacity of a cold server. */
const COLD_SHARE = 0.5;

/** A shard with its weight for balancing. @internal */
export interface WeightedShard extends ShardLoad {
  readonly weight: number;
}

/** A backend server with the shards that it owns at a step of a plan. @internal */
export interface PlannedServer {
  readonly server: BalanceServer;
  readonly capacity: number;
  readonly shards: Map<number, WeightedShard>;
  weight: number;
}

/** Weighs shards by measured load; without any load all weigh the same. @internal */
export function weightShards(shards: readonly ShardLoad[]): WeightedShard[] {
  const total = shards.reduce((sum, it) => sum + Math.max(0, it.load), 0);
  const mean = total > 0 ? total / shards.length : 1;
  return shards.map((it) => ({ ...it, weight: Math.max(0, it.load) + mean * IDLE_SHARE }));
}

function capacityOf(server: BalanceServer): number {
  return server.state === 'cold' ? server.slots * COLD_SHARE : server.slots;
}

/** Owners of all shards while a plan is made. @internal */
export class PlanState {
  readonly #servers = new Map<string, PlannedServer>();
  /** Servers that can take shards, by id. */
  readonly receivers: readonly PlannedServer[];

  constructor(shards: readonly WeightedShard[], servers: readonly BalanceServer[]) {
    for (const server of [...servers].sort(byId)) {
      const capacity = capacityOf(server);
      this.#servers.set(server.id, { server, capacity, shards: new Map(), weight: 0 });
    }
    for (const shard of shards) this.#add(shard, shard.owner);
    this.receivers = [...this.#servers.values()].filter((it) => mayReceive(it.server));
  }

  /** Returns the server if it can take shards. */
  receiver(id: string | undefined): PlannedServer | undefined {
    const found = id === undefined ? undefined : this.#servers.get(id);
    return found && mayReceive(found.server) ? found : undefined;
  }

  stateOf(id: string | undefined): BalanceServer['state'] | undefined {
    return id === undefined ? undefined : this.#servers.get(id)?.server.state;
  }

  move(shard: WeightedShard, from: string | undefined, to: PlannedServer): void {
    const source = from === undefined ? undefined : this.#servers.get(from);
    if (source?.shards.delete(shard.shard)) source.weight -= shard.weight;
    to.shards.set(shard.shard, shard);
    to.weight += shard.weight;
  }

  /** Utilization of each receiver if they shared the whole weight evenly. */
  meanUtilization(): number {
    const weight = this.receivers.reduce((sum, it) => sum + it.weight, 0);
    const capacity = this.receivers.reduce((sum, it) => sum + it.capacity, 0);
    return capacity > 0 ? weight / capacity : 0;
  }

  /** Receiver with the lowest utilization after an extra weight is added to it. */
  leastUtilized(extra = 0): PlannedServer | undefined {
    return minBy(this.receivers, (it) => (it.weight + extra) / it.capacity);
  }

  /** Receiver with the highest utilization. */
  mostUtilized(): PlannedServer | undefined {
    return minBy(this.receivers, (it) => -utilizationOf(it));
  }

  #add(shard: WeightedShard, id: string | undefined): void {
    const server = id === undefined ? undefined : this.#servers.get(id);
    if (!server) return;
    server.shards.set(shard.shard, shard);
    server.weight += shard.weight;
  }
}

/** Weight per unit of capacity. @internal */
export function utilizationOf(it: PlannedServer): number {
  return it.weight / it.capacity;
}

/** Returns the first item with the least value. @internal */
export function minBy<T>(items: Iterable<T>, valueOf: (item: T) => number): T | undefined {
  let least: T | undefined;
  let leastValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value >= leastValue) continue;
    least = item;
    leastValue = value;
  }
  return least;
}
