import type { Step } from '../model/explore.js';
import { IDLE_KEEPER } from './initial-state.js';
import {
  MAX_WAIT_TICKS,
  type KeeperRow,
  type KeeperState,
  type OwnershipOptions,
  type OwnershipState,
  type PendingWrite,
} from './state.js';
import { type KeeperView, withKeeper } from './update.js';
import { acknowledge } from './write-steps.js';

type Steps = Step<OwnershipState>[];

/** Steps by which a router reads the keeper row, enters or leaves it, or changes it. @internal */
export function keeperRowSteps(view: KeeperView, options: OwnershipOptions): Steps {
  return [
    ...read(view, options),
    ...replaceKeeper(view, options),
    ...(options.canLapse ? removeStandby(view, options) : []),
  ];
}

function read({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow } = state;
  const name = `keeper ${number} reads the table`;
  if (keeper.role === 'none') {
    // The router's write of the keeper row took effect although its answer was lost.
    const isAppointed = keeperRow.acting === number;
    if (!isAppointed) return [];
    return [{ name, next: withKeeper(state, number, appointedKeeper(state, options)) }];
  }
  const isActing = keeperRow.acting === number && keeperRow.actingEpoch === keeper.epoch;
  const isStandby = keeperRow.standby === number && keeper.role === 'standby';
  if (!isActing && !isStandby) {
    const abandoned = keeper.write?.phase === 'in flight' ? keeper.write : state.abandonedWrite;
    const next = { ...state, abandonedWrite: abandoned };
    return [{ name, next: withKeeper(next, number, { role: 'none' }) }];
  }
  return readAsKeeper({ state, number, keeper }, options);
}

/** Adopts both rows, determines the outcome of the keeper's write and notes a removed standby. */
function readAsKeeper({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow, assignment } = state;
  const isNew = assignment.version > keeper.assignment.version;
  const isSettled = keeper.write !== null && isSuperseded(state, keeper.write);
  const isRemoved = keeper.role === 'acting' && keeper.row.standby >= 0 && keeperRow.standby < 0;
  const next = withKeeper(state, number, {
    row: keeperRow,
    assignment,
    sinceRead: 0,
    ...(isNew && { isReleased: false, isSuccessorFenced: false }),
    ...(isRemoved && { standbyProof: 'removed', sinceProof: 0 }),
    ...(isSettled && { write: null }),
  });
  const name = `keeper ${number} reads the table`;
  const steps = [{ name, next: isSettled ? acknowledge(next, number, assignment) : next }];
  if (options.mutation === 'settle-write' && keeper.write !== null && !isSettled) {
    const abandoned = { ...next, abandonedWrite: keeper.write };
    const withoutWrite = withKeeper(abandoned, number, { write: null });
    steps.push({ name: `${name} and counts its write as failed`, next: withoutWrite });
  }
  return steps;
}

/** A write can't take effect any more once either of its rows has a higher version. */
function isSuperseded({ assignment, keeperRow }: OwnershipState, write: PendingWrite): boolean {
  return assignment.version > write.assignmentVersion || keeperRow.version > write.keeperRowVersion;
}

function appointedKeeper(state: OwnershipState, options: OwnershipOptions): KeeperState {
  return {
    ...IDLE_KEEPER,
    role: 'acting',
    epoch: state.keeperRow.actingEpoch,
    row: state.keeperRow,
    assignment: state.assignment,
    sinceRead: 0,
    sinceAppointed: options.canLapse ? 0 : MAX_WAIT_TICKS,
  };
}

/** The standby or another router writes itself into the keeper row as acting keeper. */
function replaceKeeper({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow } = state;
  const mayReplace = keeper.role !== 'acting' && number > 0;
  if (!mayReplace || keeperRow.acting === number) return [];
  if (keeperRow.version >= options.maxKeeperRowVersion) return [];
  const row: KeeperRow = {
    ...keeperRow,
    version: keeperRow.version + 1,
    acting: number,
    standby: -1,
    actingEpoch: keeperRow.version + 2,
  };
  const next = { ...state, keeperRow: row };
  const name = `keeper ${number} writes itself into the keeper row`;
  return [
    { name, next: withKeeper(next, number, appointedKeeper(next, options)) },
    { name: `${name}, the answer is lost`, next },
  ];
}

function removeStandby({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow } = state;
  const isWanted = keeper.role === 'acting' && keeper.hasStoppedRenewing && keeper.row.standby >= 0;
  if (!isWanted || keeper.standbyProof !== 'none') return [];
  if (keeper.row.version !== keeperRow.version) return [];
  if (keeperRow.version >= options.maxKeeperRowVersion) return [];
  const row = { ...keeperRow, version: keeperRow.version + 1, standby: -1 };
  const next = { ...state, keeperRow: row };
  const known = { row, standbyProof: 'removed', sinceProof: 0 } as const;
  const name = `keeper ${number} removes the standby from the row`;
  return [
    { name, next: withKeeper(next, number, known) },
    { name: `${name}, the answer is lost`, next },
  ];
}
