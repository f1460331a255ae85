/**
 * State of a backend server for balancing:
 * - `live`: takes its whole share of the load.
 * - `cold`: started recently; takes half of its share until it is live.
 * - `draining`: gets no new shards and loses those that it owns.
 * - `outlier`: measured to be slow or to fail; it is emptied like a draining server.
 * - `gone`: lost; its shards need another owner.
 */
export type BalanceServerState = 'live' | 'cold' | 'draining' | 'outlier' | 'gone';

/** A backend server that may own shards. */
export interface BalanceServer {
  readonly id: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly state: BalanceServerState;
  /** Requests that it works on at the same time; its share of the load is proportional to this. */
  readonly slots: number;
}

/** A shard with its owner and its measured load. */
export interface ShardLoad {
  readonly shard: number;
  /** Backend server that owns the shard; `undefined` when it has no owner. */
  readonly owner: string | undefined;
  /** Stored successor of the shard. */
  readonly successor?: string | undefined;
  /** Work that the shard causes, in any additive unit such as server milliseconds a second. */
  readonly load: number;
}

/** True when the backend server may be given shards. @internal */
export function mayReceive(server: BalanceServer): boolean {
  return server.state === 'live' || server.state === 'cold';
}

/** Orders backend servers by id, independent of the locale. @internal */
export function byId(a: { readonly id: string }, b: { readonly id: string }): number {
  if (a.id === b.id) return 0;
  return a.id < b.id ? -1 : 1;
}
