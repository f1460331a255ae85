import {
  type Assignment,
  type KeeperRow,
  type KeeperState,
  MAX_LEASE_TICKS,
  MAX_WAIT_TICKS,
  type OwnershipOptions,
  type OwnershipState,
  TENURE_TICKS,
} from './state.js';

const ASSIGNMENT: Assignment = { version: 1, owner: 'A', epoch: 1, writer: -1 };

/** A router that is not a keeper of A. @internal */
export const IDLE_KEEPER: KeeperState = {
  role: 'none',
  epoch: 0,
  row: { version: 0, acting: -1, standby: -1, actingEpoch: 0, incarnation: 0 },
  assignment: { version: 0, owner: 'A', epoch: 0, writer: -1 },
  sinceRead: TENURE_TICKS + 1,
  sinceAnswer: MAX_LEASE_TICKS,
  seenIncarnation: 0,
  isAccepted: false,
  hasStoppedRenewing: false,
  isReleased: false,
  standbyProof: 'none',
  sinceProof: MAX_WAIT_TICKS,
  sinceAppointed: MAX_WAIT_TICKS,
  hasRenewed: false,
  hasStoodDown: false,
  isSuccessorFenced: false,
  write: null,
};

/**
 * A holds the shard. Keeper 0 is the acting keeper and has just received an answer of A, unless it
 * is new. Keeper 1 is the standby if the options ask for one. @internal
 */
export function initialState(options: OwnershipOptions): OwnershipState {
  const standby = options.hasStandby ? 1 : -1;
  const row: KeeperRow = { version: 1, acting: 0, standby, actingEpoch: 1, incarnation: 1 };
  const known = { ...IDLE_KEEPER, row, assignment: ASSIGNMENT, sinceRead: 0 };
  const acting: KeeperState = {
    ...known,
    role: 'acting',
    epoch: 1,
    sinceAnswer: 0,
    seenIncarnation: 1,
    isAccepted: true,
  };
  const newlyAppointed = {
    sinceAnswer: MAX_LEASE_TICKS,
    seenIncarnation: 0,
    isAccepted: false,
    sinceAppointed: 0,
  };
  const keepers = [options.isKeeperNew ? { ...acting, ...newlyAppointed } : acting];
  if (options.hasStandby) keepers.push({ ...known, role: 'standby', epoch: 2 });
  if (options.hasReplacement) keepers.push(IDLE_KEEPER);
  return {
    keeperRow: row,
    assignment: ASSIGNMENT,
    server: {
      incarnation: 1,
      highestKeeperEpoch: options.isKeeperNew ? 0 : 1,
      leaseAge: 0,
      heldEpoch: 1,
      releasedEpoch: 0,
    },
    successor: { heldEpoch: 0, releasedEpoch: 0 },
    thirdHeldEpoch: 0,
    unrecordedEpoch: 0,
    keepers,
    renewals: [],
    abandonedWrite: null,
    acknowledged: { version: 1, owner: 'A' },
  };
}
