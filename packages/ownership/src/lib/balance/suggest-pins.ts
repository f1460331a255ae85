import type { ShardLoad } from './balance-types.js';

/** A key with its measured load, in the unit of the shard loads. */
export interface HotKey {
  /** Hash of the key in hexadecimal. */
  readonly keyHash: string;
  readonly shard: number;
  readonly load: number;
}

/** Suggestion to pin one hot key, so that it gets its own owner. */
export interface PinSuggestion {
  readonly keyHash: string;
  readonly shard: number;
  /** Load of the key divided by the mean load of a backend server. */
  readonly shareOfServer: number;
}

/** Least load of a key that is worth a pin, as a share of the mean load of a backend server. */
const MIN_SHARE_OF_SERVER = 0.1;
/** Largest share of its shard's load that a key may have; above it, moving the shard is enough. */
const MAX_SHARE_OF_SHARD = 0.9;

/** Suggests pins for keys that make their shard too heavy to balance. @internal */
export function suggestPins(
  hotKeys: readonly HotKey[],
  pinned: ReadonlySet<string>,
  shards: readonly ShardLoad[],
  serverCount: number,
): PinSuggestion[] {
  const loads = new Map(shards.map((it) => [it.shard, it.load]));
  const total = shards.reduce((sum, it) => sum + it.load, 0);
  const meanOfServer = serverCount > 0 ? total / serverCount : 0;
  if (meanOfServer === 0) return [];
  return hotKeys
    .filter((key) => !pinned.has(key.keyHash))
    .filter((key) => key.load <= (loads.get(key.shard) ?? 0) * MAX_SHARE_OF_SHARD)
    .map(({ keyHash, shard, load }) => ({ keyHash, shard, shareOfServer: load / meanOfServer }))
    .filter((it) => it.shareOfServer >= MIN_SHARE_OF_SERVER)
    .sort((a, b) => b.shareOfServer - a.shareOfServer);
}
