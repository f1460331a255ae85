import type { Mutation } from '../model/mutations.js';

// Most times in a state are remaining ticks rather than points in time, so that states recur and
// the state space is finite.

/** Length of a server's lease of the key. */
export const LEASE_TICKS = 2;
/** Longest transit of a grant; after it, the connection is reset and the grant never arrives. */
export const MAX_TRANSIT_TICKS = 1;
/** Length of the leadership lease. */
export const LEADER_LEASE_TICKS = 2;
/** Backend servers; the key moves from A to B. */
export const SERVER_A = 0;
export const SERVER_B = 1;

/** A grant that was sent and is not carried out yet. */
export interface Grant {
  readonly server: number;
  readonly leader: number;
  /** Fencing token; each leader uses one of its own for the owner of the key. */
  readonly fence: number;
  readonly hasArrived: boolean;
  /** Ticks left to arrive; after the arrival, ticks left of its lease. */
  readonly timeLeft: number;
}

/** One of two routers that may lead; times are in ticks and don't advance while it is suspended. */
export interface Leader {
  /**
   * `'leading'` before a move of the key, `'stored'` once the row names B as owner, `'released'`
   * once A released the key, `'moved'` once the grant to B is sent, `'ended'` once its process has
   * ended.
   */
  readonly phase: 'following' | 'leading' | 'stored' | 'released' | 'moved' | 'ended';
  readonly isSuspended: boolean;
  /** True from when it notices a suspension until it confirms its leadership lease. */
  readonly needsConfirmation: boolean;
  /** Time since it confirmed its leadership lease, capped where it stops renewing. */
  readonly sinceConfirmed: number;
  /** How much longer A may hold the key due to answered grants. */
  readonly answeredLeft: number;
  /** How much longer A may hold the key due to unanswered grants. */
  readonly unansweredLeft: number;
  /** How much longer A may hold the key due to grants of the former leader. */
  readonly inheritedLeft: number;
  /** Bounds of the exploration: how many renewals and suspensions may still follow. */
  readonly renewalsLeft: number;
  readonly suspensionsLeft: number;
}

/** The stored row: the leadership lease and the owner of the key. Times are in ticks. */
export interface Row {
  readonly leader: number;
  readonly leaderLeaseLeft: number;
  readonly owner: number;
  /** After a move to B: no unanswered grant to A can still take effect. */
  readonly settled: boolean;
  /** After a move to B: how much longer A may hold the key, on the store's clock. */
  readonly heldLeft: number;
}

/** State of the model: one key, two backend servers, two routers that may lead, one row. */
export interface GrantState {
  readonly row: Row;
  readonly leaders: readonly Leader[];
  /** Ticks left of each server's lease of the key. */
  readonly leaseLeft: readonly number[];
  /** Highest fencing token that A has seen; it refuses grants under a lower one. */
  readonly highestFenceSeenByA: number;
  readonly grants: readonly Grant[];
}

/** Bounds of the exploration, and the rule that is removed, if any. */
export interface GrantOptions {
  readonly mutation: Mutation | undefined;
  readonly renewalsPerLeader: number;
  /** How long a leader still renews leases after its leadership lease has expired unconfirmed. */
  readonly renewalGraceTicks: number;
  /** The first leader may be suspended once. */
  readonly canSuspend: boolean;
  /** The first leader's process may end, and the second one asks it to step down. */
  readonly canEnd: boolean;
}
