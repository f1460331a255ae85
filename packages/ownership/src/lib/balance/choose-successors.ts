import { type BalanceServer, type ShardLoad, byId, mayReceive } from './balance-types.js';
import { groupBy } from './group-by.js';

/**
 * Where successors are looked for:
 * - `region`: another availability zone of the owner's region first. A region that is cut off
 *   can reassign its shards itself, but the load of a lost server falls on few others.
 * - `spread`: all other availability zones alike. The load of a lost server spreads evenly and
 *   needs no second move, but a region that is cut off can't always reassign its shards itself.
 */
export type SuccessorPreference = 'region' | 'spread';

/** Successor of one shard. */
export interface ShardSuccessor {
  readonly shard: number;
  /** `undefined` when no other backend server can take shards. */
  readonly successor: string | undefined;
}

/** A stored successor keeps at most this multiple of its even share of an owner's shards. */
const MAX_SHARE_FACTOR = 1.25;

/** Rank of a candidate for an owner; lower is better. */
function rankOf(
  owner: BalanceServer | undefined,
  candidate: BalanceServer,
  prefer: SuccessorPreference,
): number {
  if (!owner) return 0;
  const otherZone = owner.availabilityZone !== candidate.availabilityZone;
  if (prefer === 'spread') return otherZone ? 0 : 1;
  if (owner.region !== candidate.region) return 2;
  return otherZone ? 0 : 1;
}

/** Returns all candidates of the best rank. */
function bestCandidates(
  owner: BalanceServer | undefined,
  candidates: readonly BalanceServer[],
  prefer: SuccessorPreference,
): BalanceServer[] {
  const others = candidates.filter((it) => it.id !== owner?.id);
  const best = Math.min(...others.map((it) => rankOf(owner, it, prefer)));
  return others.filter((it) => rankOf(owner, it, prefer) === best);
}

/** Chooses the successors of all shards of one owner. */
function chooseForOwner(
  shards: readonly ShardLoad[],
  candidates: readonly BalanceServer[],
): ShardSuccessor[] {
  const counts = new Map(candidates.map((it) => [it.id, 0]));
  const limit = Math.ceil((shards.length / Math.max(1, candidates.length)) * MAX_SHARE_FACTOR);
  const chosen = new Map<number, string>();

  for (const { shard, successor } of shards) {
    const count = successor === undefined ? undefined : counts.get(successor);
    if (successor === undefined || count === undefined || count >= limit) continue;
    counts.set(successor, count + 1);
    chosen.set(shard, successor);
  }
  for (const { shard } of shards) {
    if (chosen.has(shard)) continue;
    const least = leastAssigned(counts);
    if (least === undefined) continue;
    counts.set(least, (counts.get(least) ?? 0) + 1);
    chosen.set(shard, least);
  }
  return shards.map(({ shard }) => ({ shard, successor: chosen.get(shard) }));
}

function leastAssigned(counts: ReadonlyMap<string, number>): string | undefined {
  let least: string | undefined;
  let leastCount = Infinity;
  for (const [id, count] of counts) {
    if (count >= leastCount) continue;
    least = id;
    leastCount = count;
  }
  return least;
}

/** Rotates a list, so that different owners begin with different candidates. */
function rotate<T>(items: readonly T[], by: number): T[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

/**
 * Chooses a successor for every shard: never its owner, never a draining or lost server, in another
 * availability zone where there is one. The shards of one owner are spread evenly over its best
 * candidates. A stored successor is kept while it is valid and takes no more than its share.
 */
export function chooseSuccessors(
  shards: readonly ShardLoad[],
  servers: readonly BalanceServer[],
  prefer: SuccessorPreference = 'region',
): ShardSuccessor[] {
  const sorted = [...servers].sort(byId);
  const byServerId = new Map(sorted.map((it) => [it.id, it]));
  const candidates = sorted.filter(mayReceive);
  const owners = [...groupBy(shards, (it) => it.owner)];
  return owners
    .flatMap(([ownerId, owned]) => {
      const owner = ownerId === undefined ? undefined : byServerId.get(ownerId);
      const best = bestCandidates(owner, candidates, prefer);
      const position = owner ? sorted.indexOf(owner) : 0;
      return chooseForOwner(owned, rotate(best, position));
    })
    .sort((a, b) => a.shard - b.shard);
}
