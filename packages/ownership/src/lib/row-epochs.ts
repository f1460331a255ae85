import { type AssignRow, type KeeperRow, ROW_PREFIXES } from './table-rows.js';

function hasLowerShardEpoch(before: AssignRow, after: AssignRow): boolean {
  const epochs = new Map(after.shards.map((it) => [it.shard, it.epoch]));
  return before.shards.some(({ shard, epoch }) => (epochs.get(shard) ?? epoch) < epoch);
}

/**
 * True when a value of the row at this key gives out epochs again that an earlier value had given
 * out. No writer that knew the earlier value writes such a one.
 */
export function hasLowerEpochs(key: string, before: unknown, after: unknown): boolean {
  if (key.startsWith(ROW_PREFIXES.assign))
    return hasLowerShardEpoch(before as AssignRow, after as AssignRow);
  if (key.startsWith(ROW_PREFIXES.keeper))
    return (after as KeeperRow).nextEpoch < (before as KeeperRow).nextEpoch;
  return false;
}
