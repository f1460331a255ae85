import type { Mutation } from '../model/rules.js';

/** Lease length, in ticks of the model's clock. */
export const LEASE_TICKS = 1;
/** How much longer a lease may last on a slow clock, in ticks. */
export const CLOCK_MARGIN_TICKS = 1;
/** Longest time that a keeper acts without reading its row, in ticks. */
export const TENURE_TICKS = 1;
/** Age from which an answer extends nothing on the slowest clock, in ticks. */
export const MAX_LEASE_TICKS = LEASE_TICKS + CLOCK_MARGIN_TICKS;
/** Waiting time of a replacement that can't reach the backend server, in ticks. */
export const MAX_WAIT_TICKS = TENURE_TICKS + MAX_LEASE_TICKS;

/** Backend server A owns the shard at first; B is its stored successor; C is a third one. */
export type ServerName = 'A' | 'B' | 'C';

/** The keeper row of backend server A. Keepers are numbered; -1 stands for none. */
export interface KeeperRow {
  readonly version: number;
  readonly acting: number;
  readonly standby: number;
  readonly actingEpoch: number;
  /** The start of A that keepers may renew. */
  readonly incarnation: number;
}

/** The assignment row of the one shard. */
export interface Assignment {
  readonly version: number;
  readonly owner: ServerName;
  readonly epoch: number;
  /** Keeper that wrote the row. */
  readonly writer: number;
}

/** Backend server A; all of it is lost at a restart. */
export interface ServerState {
  readonly incarnation: number;
  readonly highestKeeperEpoch: number;
  /** Age of the answer that the lease runs from, in ticks. */
  readonly leaseAge: number;
  /** Epoch of the grant, 0 without one. */
  readonly heldEpoch: number;
  /** Highest epoch released. */
  readonly releasedEpoch: number;
}

/** A write of the assignment row that may land at any time, or never. */
export interface PendingWrite {
  readonly owner: ServerName;
  readonly epoch: number;
  readonly assignmentVersion: number;
  readonly keeperRowVersion: number;
  /** Start of A that the keeper row names afterwards. */
  readonly incarnation: number;
  readonly phase: 'in flight' | 'applied' | 'refused';
}

/** How the acting keeper has made sure of the standby. */
export type StandbyProof = 'none' | 'acknowledged' | 'removed';

/** A router in its part as a keeper of backend server A. Times are ages in ticks. */
export interface KeeperState {
  readonly role: 'none' | 'acting' | 'standby';
  readonly epoch: number;
  readonly row: KeeperRow;
  readonly assignment: Assignment;
  readonly sinceRead: number;
  /** Since the last answer of A. */
  readonly sinceAnswer: number;
  /** Start of A that gave the answer, 0 without one. */
  readonly seenIncarnation: number;
  /** True when A accepted a call under this keeper epoch. */
  readonly isAccepted: boolean;
  readonly hasStoppedRenewing: boolean;
  readonly isReleased: boolean;
  readonly standbyProof: StandbyProof;
  readonly sinceProof: number;
  readonly sinceAppointed: number;
  /** As a standby: it has renewed A. */
  readonly hasRenewed: boolean;
  /** As a standby: it promised not to renew A. */
  readonly hasStoodDown: boolean;
  /** True when B acknowledged the release of the reserved epoch. */
  readonly isSuccessorFenced: boolean;
  readonly write: PendingWrite | null;
}

/** A renewal on its way to A; it may arrive late, twice or never. */
export interface Renewal {
  readonly keeper: number;
  readonly keeperEpoch: number;
  readonly incarnation: number;
  /** Age of the echoed answer, in ticks. */
  readonly age: number;
  readonly epoch: number;
}

/** State of the whole system. */
export interface OwnershipState {
  readonly keeperRow: KeeperRow;
  readonly assignment: Assignment;
  readonly server: ServerState;
  /** Epoch under which B may act, and the highest epoch released there. */
  readonly successor: { readonly heldEpoch: number; readonly releasedEpoch: number };
  /** Epoch under which C may act. */
  readonly thirdHeldEpoch: number;
  /** Epoch of a move that is carried out but not recorded, 0 for none. */
  readonly unrecordedEpoch: number;
  readonly keepers: readonly KeeperState[];
  readonly renewals: readonly Renewal[];
  /** A write that its keeper has given up although it may still land. */
  readonly abandonedWrite: PendingWrite | null;
  /** Highest version of the assignment that was acknowledged, with its owner. */
  readonly acknowledged: { readonly version: number; readonly owner: ServerName };
}

/** Bounds and features of one configuration, and the rule that is removed. */
export interface OwnershipOptions {
  readonly mutation: Mutation | undefined;
  readonly hasStandby: boolean;
  /** True when keeper 0 was just written into the row and has not called A yet. */
  readonly isKeeperNew: boolean;
  readonly hasReplacement: boolean;
  readonly canRelease: boolean;
  readonly canLapse: boolean;
  readonly canRestart: boolean;
  readonly canMoveUnrecorded: boolean;
  readonly maxRenewals: number;
  readonly maxKeeperVersion: number;
  readonly maxMoves: number;
}
