import type { ServiceConfig } from '@boragepoint/config';

import type { OwnershipContext } from './ownership-context.js';
import type { VersionedRow } from './row-store.js';
import type { ShardChange } from './shard-mover.js';
import { type KeeperRow, assignKey } from './table-rows.js';

/**
 * Records moves away from a backend server that an earlier keeper carried out without a record and
 * was lost before it could write them. Until they are recorded, the shards can't be moved again.
 */
export async function recordInheritedMoves(
  ctx: OwnershipContext,
  service: ServiceConfig,
  server: string,
  keeper: VersionedRow<KeeperRow>,
  signal: AbortSignal,
): Promise<void> {
  const unrecorded = ctx.map.unrecorded().filter((it) => it.service === service.name);
  const changes = unrecorded.flatMap(({ shard, owner, epoch }): ShardChange[] => {
    const row = ctx.rows.assign(assignKey(service.name, shard))?.value;
    const recorded = row?.shards.find((it) => it.shard === shard);
    const isFromServer = recorded?.owner === server && recorded.epoch < epoch;
    if (!isFromServer) return [];
    const reason = 'an earlier keeper moved it while the table was down';
    return [{ shard, from: server, to: owner, epoch, successor: '', reason }];
  });
  if (changes.length > 0) await ctx.mover.record(service.name, keeper, changes, signal);
}
