import type { Mutation } from '../model/mutations.js';

/** Lease length, in ticks of the model's clock. */
export const LEASE_TICKS = 1;
/** How much longer a lease may last on a server with the slowest clock allowed, in ticks. */
export const CLOCK_MARGIN_TICKS = 1;
/** Maximum time for which a keeper renews after a read of its row, in ticks. */
export const TENURE_TICKS = 1;
/** Age from which an answer extends no lease, even on a server with the slowest clock, in ticks. */
export const MAX_LEASE_TICKS = LEASE_TICKS + CLOCK_MARGIN_TICKS;
/** Time that a replacement waits if it can't reach the backend server, in ticks. */
export const MAX_WAIT_TICKS = TENURE_TICKS + MAX_LEASE_TICKS;

/** Backend server A owns the shard at first; B is its stored successor; C is another one. */
export type ServerName = 'A' | 'B' | 'C';

/** The keeper row of backend server A. Keepers have numbers; -1 stands for none. */
export interface KeeperRow {
  readonly version: number;
  readonly acting: number;
  readonly standby: number;
  readonly actingEpoch: number;
  /** The incarnation of A that keepers may renew. */
  readonly incarnation: number;
}

/** The assignment row of the one shard. */
export interface Assignment {
  readonly version: number;
  readonly owner: ServerName;
  readonly epoch: number;
  /** Keeper that wrote the row, -1 for none of the model's. */
  readonly writer: number;
}

/** State of backend server A; a restart resets it. */
export interface ServerState {
  readonly incarnation: number;
  readonly highestKeeperEpoch: number;
  /** Age of the answer from which the lease is counted, in ticks. */
  readonly leaseAge: number;
  /** Epoch under which A holds the shard, 0 for none. */
  readonly heldEpoch: number;
  /** Highest epoch released. */
  readonly releasedEpoch: number;
}

/** A write of the assignment row, which may take effect at any time or never. */
export interface PendingWrite {
  readonly owner: ServerName;
  readonly epoch: number;
  readonly assignmentVersion: number;
  readonly keeperRowVersion: number;
  /** Incarnation of A that the keeper row names after the write. */
  readonly incarnation: number;
  readonly phase: 'in flight' | 'applied' | 'refused';
}

/** How the acting keeper knows that the standby stopped renewing. */
export type StandbyProof = 'none' | 'acknowledged' | 'removed';

/** A router as a keeper of backend server A. Fields named `since...` are ages in ticks. */
export interface KeeperState {
  /** `'none'` for a router that is not a keeper of A. */
  readonly role: 'none' | 'acting' | 'standby';
  readonly epoch: number;
  readonly row: KeeperRow;
  readonly assignment: Assignment;
  readonly sinceRead: number;
  /** Age of the last answer of A. */
  readonly sinceAnswer: number;
  /** Incarnation of A that gave that answer, 0 without one. */
  readonly seenIncarnation: number;
  /** True once A accepted a call under this keeper epoch. */
  readonly isAccepted: boolean;
  readonly hasStoppedRenewing: boolean;
  /** True once A acknowledged the release of the shard to this keeper. */
  readonly isReleased: boolean;
  readonly standbyProof: StandbyProof;
  readonly sinceProof: number;
  readonly sinceAppointed: number;
  /** As a standby: whether it has renewed the lease of A. */
  readonly hasRenewed: boolean;
  /** As a standby: whether it has promised not to renew the lease of A. */
  readonly hasStoodDown: boolean;
  /** True once B acknowledged the release of the reserved epoch. */
  readonly isSuccessorFenced: boolean;
  readonly write: PendingWrite | null;
}

/** A renewal in flight to A; it may arrive late, repeatedly or never. */
export interface Renewal {
  readonly keeper: number;
  readonly keeperEpoch: number;
  readonly incarnation: number;
  /** Age of the echoed answer, in ticks. */
  readonly age: number;
  readonly epoch: number;
}

/** State of the model: the two rows, backend servers A, B and C, A's keepers and the network. */
export interface OwnershipState {
  readonly keeperRow: KeeperRow;
  readonly assignment: Assignment;
  /** State of A. */
  readonly server: ServerState;
  /** Epoch under which B holds the shard, 0 for none, and the highest epoch that B released. */
  readonly successor: { readonly heldEpoch: number; readonly releasedEpoch: number };
  /** Epoch under which C holds the shard, 0 for none. */
  readonly thirdHeldEpoch: number;
  /** Epoch of a move that was carried out and is not recorded in the table, 0 for none. */
  readonly unrecordedEpoch: number;
  readonly keepers: readonly KeeperState[];
  readonly renewals: readonly Renewal[];
  /** A write that its keeper has given up although it may still take effect. */
  readonly abandonedWrite: PendingWrite | null;
  /** Highest version of the assignment row that was acknowledged to its writer, with its owner. */
  readonly acknowledged: { readonly version: number; readonly owner: ServerName };
}

/** Bounds of the exploration, features of the model, and the rule that is removed, if any. */
export interface OwnershipOptions {
  readonly mutation: Mutation | undefined;
  readonly hasStandby: boolean;
  /** True when keeper 0 has just been written into the row and has not called A yet. */
  readonly isKeeperNew: boolean;
  /** True when there is another router, which may replace the acting keeper. */
  readonly hasReplacement: boolean;
  readonly canRelease: boolean;
  readonly canLapse: boolean;
  readonly canRestart: boolean;
  readonly canMoveUnrecorded: boolean;
  readonly maxRenewalsInFlight: number;
  /** Version of the keeper row from which no router changes its keepers. */
  readonly maxKeeperRowVersion: number;
  /** Maximum number of recorded moves. */
  readonly maxMoves: number;
}
