import type { Mutation } from '../model/rules.js';

/** Times of the model, in ticks. All times of a state are what is left of them, so that states recur. */
export const LEASE_TICKS = 2;
/** A grant arrives within this time or never: its connection is reset. */
export const MAX_TRANSIT_TICKS = 1;
export const LEADER_LEASE_TICKS = 2;
/** How long a leader renews leases without a confirmed seat. */
export const RENEWAL_GRACE_TICKS = 1;

/** Backend servers: the key goes from A to B. */
export const SERVER_A = 0;
export const SERVER_B = 1;

/** A grant that was sent. */
export interface Grant {
  readonly server: number;
  readonly leader: number;
  /** Fencing token; each leader has its own for the key's owner. */
  readonly fence: number;
  readonly hasArrived: boolean;
  /** Time left to arrive; once it has arrived, what is left of its lease. */
  readonly timeLeft: number;
}

/** One of two routers that may lead. Its times stand still while it is suspended. */
export interface Leader {
  readonly phase: 'following' | 'leading' | 'stored' | 'released' | 'moved';
  readonly isSuspended: boolean;
  /** It noticed a suspension and has not confirmed its seat since. */
  readonly needsConfirmation: boolean;
  /** Time since it confirmed its seat, up to the time at which it stops renewing. */
  readonly sinceConfirmed: number;
  /** How long A may hold the key because of answered and of unanswered grants. */
  readonly answeredLeft: number;
  readonly unansweredLeft: number;
  /** How long a grant of the former leader may count. */
  readonly inheritedLeft: number;
  readonly renewalsLeft: number;
  readonly suspensionsLeft: number;
}

/** The stored row: the seat and who owns the key. */
export interface Row {
  readonly leader: number;
  readonly leaderLeaseLeft: number;
  readonly owner: number;
  /** Since A lost the key, no grant to A can be without an answer. */
  readonly settled: boolean;
  /** Since A lost the key: how long it may hold it, on the store's clock. */
  readonly heldLeft: number;
}

/** One key, two servers, two leaders, one row. */
export interface GrantState {
  readonly row: Row;
  readonly leaders: readonly Leader[];
  /** How long each server holds the key. */
  readonly leaseLeft: readonly number[];
  /** Highest token that A has seen; it refuses grants under a lower one. */
  readonly highestFenceSeenByA: number;
  readonly grants: readonly Grant[];
}

/** Bounds of the exploration, and the rule that is removed. */
export interface GrantOptions {
  readonly mutation: Mutation | undefined;
  readonly renewalsPerLeader: number;
}
