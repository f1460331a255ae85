import {
  type Assignment,
  type KeeperRow,
  type KeeperState,
  LAPSED,
  LONGEST_WAIT,
  type OwnershipOptions,
  type OwnershipState,
  TENURE_TICKS,
} from './state.js';

const ASSIGNMENT: Assignment = { version: 1, owner: 'A', epoch: 1, token: -1 };

/** A router that keeps nothing. @internal */
export const IDLE_KEEPER: KeeperState = {
  role: 'none',
  epoch: 0,
  row: { version: 0, acting: -1, standby: -1, actingEpoch: 0, start: 0 },
  assignment: { version: 0, owner: 'A', epoch: 0, token: -1 },
  sinceRead: TENURE_TICKS + 1,
  sinceAnswer: LAPSED,
  seenStart: 0,
  isAccepted: false,
  hasStopped: false,
  isReleased: false,
  standbyProof: 'none',
  sinceProof: LONGEST_WAIT,
  sinceInstalled: LONGEST_WAIT,
  hasActed: false,
  isStoodDown: false,
  isSuccessorFenced: false,
  write: null,
};

/** A holds the shard; keeper 0 acts and has just had an answer; keeper 1 stands by. @internal */
export function initialState(options: OwnershipOptions): OwnershipState {
  const standby = options.hasStandby ? 1 : -1;
  const row: KeeperRow = { version: 1, acting: 0, standby, actingEpoch: 1, start: 1 };
  const known = { ...IDLE_KEEPER, row, assignment: ASSIGNMENT, sinceRead: 0 };
  const acting: KeeperState = {
    ...known,
    role: 'acting',
    epoch: 1,
    sinceAnswer: 0,
    seenStart: 1,
    isAccepted: true,
  };
  const fresh = { sinceAnswer: LAPSED, seenStart: 0, isAccepted: false, sinceInstalled: 0 };
  const keepers = [options.isKeeperNew ? { ...acting, ...fresh } : acting];
  if (options.hasStandby) keepers.push({ ...known, role: 'standby', epoch: 2 });
  if (options.hasReplacement) keepers.push(IDLE_KEEPER);
  return {
    keeperRow: row,
    assignment: ASSIGNMENT,
    server: {
      start: 1,
      highestKeeperEpoch: options.isKeeperNew ? 0 : 1,
      leaseAge: 0,
      held: 1,
      released: 0,
    },
    successor: { held: 0, released: 0 },
    third: 0,
    unrecorded: 0,
    keepers,
    renewals: [],
    strayWrite: null,
    acknowledged: { version: 1, owner: 'A' },
  };
}
