import { type Result, err } from 'neverthrow';

import { isOwnRole } from './keeper-roles.js';
import type { MoveOrder } from './move-order.js';
import type { OwnershipContext } from './ownership-context.js';
import type { ReleaseList } from './release-list.js';
import { MoveError, type ShardChange } from './shard-mover.js';
import type { Assignment } from './table-rows.js';

/**
 * Epoch step of a recorded move; skips the epoch reserved for the stored successor (rule 10 in
 * DESIGN.md).
 */
export const RECORDED_EPOCH_STEP = 2;

interface ReleasedShard {
  readonly assignment: Assignment;
  readonly to: string;
}

/**
 * Moves shards away from a backend server that answers: it releases them, then their new owners are
 * recorded. Orders for older epochs, and for shards that are being moved, are skipped.
 * @param onAdded Called once the next renewal has releases to carry.
 */
export async function releaseAndMove(
  ctx: OwnershipContext,
  serverId: string,
  releases: ReleaseList,
  orders: readonly MoveOrder[],
  reason: string,
  onAdded: () => void,
  signal: AbortSignal,
): Promise<Result<void, MoveError>> {
  const service = ctx.map.server(serverId)?.service.name ?? '';
  const wanted = ctx.map.ownedBy(service, serverId).flatMap((assignment): ReleasedShard[] => {
    const { shard, epoch } = assignment;
    const order = orders.find((it) => it.shard === shard && it.epoch === epoch);
    const mayMove = order !== undefined && !releases.has(shard, epoch);
    return mayMove ? [{ assignment, to: order.to }] : [];
  });
  if (wanted.length === 0) return err(new MoveError('moved-before'));
  const assignments = wanted.map((it) => it.assignment);
  await releases.release(assignments, onAdded, signal);
  const keeper = ctx.map.keeper(serverId);
  if (keeper === undefined || !isOwnRole(ctx, keeper.value.acting)) {
    releases.remove(assignments);
    return err(new MoveError('replaced'));
  }
  const changes = wanted.map(({ assignment: { shard, epoch }, to }): ShardChange => ({
    shard,
    from: serverId,
    to,
    epoch: epoch + RECORDED_EPOCH_STEP,
    successor: serverId,
    reason,
  }));
  const recorded = await ctx.mover.record(service, keeper, changes, signal);
  releases.remove(changes);
  if (recorded.isOk()) ctx.journal.add('move', { server: serverId }, reason);
  ctx.peers.announce();
  return recorded;
}
