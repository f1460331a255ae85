import type { AssignmentMap } from './assignment-map.js';
import type { Journal } from './journal.js';
import type { KeeperPeers } from './keeper-peers.js';
import type { KeyHasher } from './key-hash.js';
import type { LeaseClient } from './lease-client.js';
import type { Membership } from './membership.js';
import type { RowStore } from './row-store.js';
import type { RowWriter } from './row-writer.js';
import type { ShardMover } from './shard-mover.js';

/** State and services that the tasks of one router share. */
export interface OwnershipContext {
  readonly rows: RowStore;
  readonly map: AssignmentMap;
  readonly writer: RowWriter;
  readonly mover: ShardMover;
  readonly membership: Membership;
  readonly leaseClient: LeaseClient;
  readonly peers: KeeperPeers;
  readonly journal: Journal;
  readonly hasher: KeyHasher;
  /** Time when the last complete read of the table was sent, on the monotonic clock. */
  lastTableReadAt(): number;
  /** Time that the last complete read of the table took, in milliseconds. */
  lastTableReadMs(): number;
  /** False while calls to the table fail. */
  isTableUp(): boolean;
  /** Measured work by shard, in any additive unit; shards that are not named have none. */
  shardLoads(service: string): ReadonlyMap<number, number>;
  /** State of a backend server as measured: `outlier` loses its shards, `cold` gets few. */
  serverVerdict(service: string, server: string): 'live' | 'cold' | 'outlier';
  /** Backend servers that keepers, here or at peers, can't reach. */
  unreachableServers(): ReadonlySet<string>;
}
