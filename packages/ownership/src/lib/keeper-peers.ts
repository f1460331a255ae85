import type { MoveOrder } from './move-order.js';
import type { KeeperRole } from './table-rows.js';

/** Answer to a request to stand down. */
export interface StandDownAnswer {
  /**
   * True when the peer promises, for a tenure, neither to renew the backend server's lease nor to
   * claim its keeper roles.
   */
  readonly accepted: boolean;
  /** True when the peer has ever renewed the lease under its present role. */
  readonly hasActed: boolean;
}

/** Requests of a keeper to other routers. */
export interface KeeperPeers {
  /**
   * Asks the standby to stand down for the keeper that acts under `actingEpoch`. Returns
   * `undefined` when this incarnation of the standby did not answer in time.
   */
  standDown(
    standby: KeeperRole,
    server: string,
    actingEpoch: number,
  ): Promise<StandDownAnswer | undefined>;
  /**
   * Asks every router that the instance list names or that was heard from within `withinMs` to
   * stand down; true when all have promised.
   */
  standDownAll(server: string, actingEpoch: number, withinMs: number): Promise<boolean>;
  /** Asks the keeper of a backend server to move shards; false when it did not. */
  moveShards(
    keeper: string,
    server: string,
    orders: readonly MoveOrder[],
    reason: string,
  ): Promise<boolean>;
  /** Sends this router's newest rows and unrecorded moves to all peers at once. */
  announce(): void;
}
