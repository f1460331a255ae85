import type { Mutation } from '../model/mutations.js';

// Times are remaining or elapsed ticks with a cap, so that states recur.

/** Length of a server's lease of the key. */
export const LEASE_TICKS = 2;
/** Longest transit of a grant; after it, the grant never arrives. */
export const MAX_TRANSIT_TICKS = 1;
/** Length of the leadership lease. */
export const LEADER_LEASE_TICKS = 1;
/** How long a leader still renews leases after its leadership lease has expired unconfirmed. */
export const RENEWAL_GRACE_TICKS = 1;
/** Longest time for which a grant that was sent just now may let a server hold the key. */
export const LATE_TICKS = MAX_TRANSIT_TICKS + LEASE_TICKS;
/** Fencing tokens of an era are above this multiple of its number. */
export const TOKENS_PER_ERA = 100;

export const SERVER_NAMES = ['A', 'B'];

/** Row of the placement and the leadership lease. */
export interface Row {
  /** Era of the store as known to the writer. */
  readonly era: number;
  readonly version: number;
  readonly leader: number;
  /** Number of the leadership: the token of its first write. */
  readonly epoch: number;
  readonly leaderLeaseLeft: number;
  readonly owner: number;
  readonly fence: number;
  /** How much longer the other server may hold the key. */
  readonly heldLeft: number;
  /** No unanswered grant to the other server can take effect. */
  readonly settled: boolean;
}

/** A write of a row that is still on its way to the store. */
export interface Write {
  readonly router: number;
  readonly incarnation: number;
  readonly key: number;
  readonly expectedVersion: number;
  readonly row: Row;
}

/** The store, with the row of each era. */
export interface Store {
  readonly era: number;
  readonly rows: readonly (Row | undefined)[];
}

/** What a router knows of the placement from a leader. */
export interface View {
  readonly leader: number;
  readonly incarnation: number;
  readonly owner: number;
  readonly fence: number;
}

/** What a leader knows; times don't advance while its router is frozen. */
export interface Lead {
  /** Era of the row that holds its leadership lease. */
  readonly era: number;
  readonly epoch: number;
  /** From where it has its first knowledge. */
  readonly source: 'row' | 'record' | 'view' | 'copy';
  readonly version: number;
  readonly sinceConfirmed: number;
  readonly needsConfirmation: boolean;
  readonly owner: number;
  readonly fence: number;
  /**
   * `'sent'` after a decision that is not stored yet, `'stored'` until the owner is granted the
   * key after a move or a change of leader.
   */
  readonly phase: 'granted' | 'sent' | 'stored';
  /** How much longer each server may hold the key due to answered grants. */
  readonly answeredLeft: readonly number[];
  /** How much longer each server may hold the key due to grants without an answer. */
  readonly lateLeft: readonly number[];
}

/** A router. */
export interface Router {
  readonly incarnation: number;
  readonly isFrozen: boolean;
  /** Highest era of the store that it knows, and since when (capped). */
  readonly era: number;
  readonly eraAge: number;
  readonly view: View | undefined;
  readonly lead: Lead | undefined;
}

/** A backend server. */
export interface Server {
  readonly leaseLeft: number;
  /** Highest fencing token under which it has been granted the key; 0 before. */
  readonly fence: number;
}

/** A grant that was sent and is not carried out yet. */
export interface Grant {
  readonly router: number;
  readonly epoch: number;
  readonly server: number;
  readonly fence: number;
  /**
   * Ticks left until it can't take effect any more. Its lease counts from its arrival, which may be
   * as late as its transit allows.
   */
  readonly timeLeft: number;
}

/** How many more of each may follow. */
export interface Budget {
  readonly restores: number;
  readonly moves: number;
  readonly grants: number;
  readonly restarts: number;
  readonly freezes: number;
  readonly acquisitions: number;
}

export interface RestoreState {
  readonly store: Store;
  readonly routers: readonly Router[];
  readonly servers: readonly Server[];
  readonly grants: readonly Grant[];
  readonly write: Write | undefined;
  /** A server took the key under a token that is not above that of another server. */
  readonly hasLowFence: boolean;
  readonly budget: Budget;
}

/** What is lost when the store comes back; the copy names router 0 as leader, A as owner. */
export type ScenarioName =
  | 'nothing is lost'
  | 'nothing is lost, the write of a move is under way'
  | 'a move is lost'
  | 'a move is lost, router 1 was started anew'
  | 'a hand-over to router 1 and a move are lost'
  | 'a hand-over to router 1 and a move are lost, router 0 was started anew'
  | 'a change of leader, unnoticed by router 0, and a move are lost'
  | 'a change of leader, unnoticed by router 0, and a move are lost, router 1 was started anew';

/** Bounds of the exploration, and the rule that is removed, if any. */
export interface RestoreOptions {
  readonly mutation: Mutation | undefined;
  readonly budget: Budget;
  readonly scenarios: readonly ScenarioName[];
}
