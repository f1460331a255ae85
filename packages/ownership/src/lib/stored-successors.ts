import type { ServiceConfig } from '@boragepoint/config';

import {
  type BalanceServer,
  type BalanceServerState,
  type ShardLoad,
  chooseSuccessors,
} from './balance/index.js';
import type { OwnershipContext } from './ownership-context.js';
import type { VersionedRow } from './row-store.js';
import type { RowChange } from './row-writer.js';
import { type AssignRow, type KeeperRow, ROW_PREFIXES } from './table-rows.js';

/** Spreads a lost server's load evenly; see the routing package's design note on load. */
export const SUCCESSOR_PREFERENCE = 'spread';

/** Returns the backend servers of a service as input for balancing. */
export function balanceServers(ctx: OwnershipContext, service: ServiceConfig): BalanceServer[] {
  const unreachable = ctx.unreachableServers();
  const leaving = ctx.membership.leavingServers();
  return service.backendServers.map((it) => {
    const state = stateOf(it.id, it.draining || leaving.has(it.id), unreachable.has(it.id));
    return { ...it, state };
  });

  function stateOf(id: string, isDraining: boolean, isLost: boolean): BalanceServerState {
    if (isLost) return 'gone';
    return isDraining ? 'draining' : ctx.serverVerdict(service.name, id);
  }
}

/** Returns the shards of a service as input for balancing. */
export function balanceShards(ctx: OwnershipContext, service: ServiceConfig): ShardLoad[] {
  const loads = ctx.shardLoads(service.name);
  return ctx.map.assignments(service.name).map(({ shard, owner, successor }) => ({
    shard,
    owner,
    successor: successor === '' ? undefined : successor,
    load: loads.get(shard) ?? 0,
  }));
}

function withSuccessors(
  row: AssignRow,
  owner: string,
  chosen: ReadonlyMap<number, string | undefined>,
): AssignRow['shards'] {
  return row.shards.map((it) => {
    const successor = chosen.get(it.shard) ?? '';
    return it.owner !== owner || it.successor === successor ? it : { ...it, successor };
  });
}

/**
 * Stores successors for the shards of one backend server where they are missing or not usable. Only
 * the acting keeper of the owner does this, and it checks its keeper row in the same transaction,
 * since it alone may move shards to stored successors without a record.
 */
export async function updateSuccessors(
  ctx: OwnershipContext,
  service: ServiceConfig,
  server: string,
  keeper: VersionedRow<KeeperRow>,
  signal: AbortSignal,
): Promise<void> {
  const wanted = chooseSuccessors(
    balanceShards(ctx, service),
    balanceServers(ctx, service),
    SUCCESSOR_PREFERENCE,
  );
  const chosen = new Map(wanted.map((it) => [it.shard, it.successor]));
  const writes: RowChange[] = [];
  for (const key of ctx.rows.keys(`${ROW_PREFIXES.assign}${service.name}/`)) {
    const row = ctx.rows.assign(key);
    if (row === undefined) continue;
    const shards = withSuccessors(row.value, server, chosen);
    if (shards.every((it, i) => it === row.value.shards[i])) continue;
    writes.push({ key, expectedVersion: row.version, value: { ...row.value, shards } });
  }
  if (writes.length === 0) return;
  const check = { key: keeper.key, expectedVersion: keeper.version };
  const written = await ctx.writer.write([check, ...writes], signal);
  if (written.isErr()) await ctx.writer.refresh([keeper.key, ...writes.map((it) => it.key)]);
  else ctx.peers.announce();
}
