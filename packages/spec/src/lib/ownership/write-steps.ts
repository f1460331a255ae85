import type { Step } from '../model/explore.js';
import {
  type Assignment,
  type KeeperRow,
  type OwnershipOptions,
  type OwnershipState,
  type PendingWrite,
} from './state.js';
import { type KeeperView, withKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps of a write: it takes effect or is refused, and its answer is received or not. @internal */
export function writeSteps(view: KeeperView, options: OwnershipOptions): Steps {
  return [...applyWrite(view, options), ...receiveWriteAnswer(view, options)];
}

/** Records an assignment as acknowledged if the keeper wrote it itself. @internal */
export function acknowledge(
  state: OwnershipState,
  number: number,
  { version, owner, writer }: Assignment,
): OwnershipState {
  if (writer !== number || version < state.acknowledged.version) return state;
  return { ...state, acknowledged: { version, owner } };
}

/** Rule 2: a write takes effect only if both rows have the versions that it expects. */
function stateAfterWrite(
  state: OwnershipState,
  write: PendingWrite,
  writer: number,
  options: OwnershipOptions,
): OwnershipState | undefined {
  const checksKeeperRow = options.mutation !== 'keeper-row-check';
  if (state.assignment.version !== write.assignmentVersion) return undefined;
  if (checksKeeperRow && state.keeperRow.version !== write.keeperRowVersion) return undefined;
  const keeperRow = keeperRowAfter(state.keeperRow, write);
  return { ...state, assignment: assignmentOf(write, writer), keeperRow };
}

function assignmentOf(
  { owner, epoch, assignmentVersion }: PendingWrite,
  writer: number,
): Assignment {
  return { version: assignmentVersion + 1, owner, epoch, writer };
}

/** A write with a new incarnation of A changes the keeper row too (rule 8). */
function keeperRowAfter(row: KeeperRow, { incarnation }: PendingWrite): KeeperRow {
  return incarnation === row.incarnation ? row : { ...row, version: row.version + 1, incarnation };
}

function applyWrite({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { write } = keeper;
  if (write?.phase !== 'in flight') return [];
  const written = stateAfterWrite(state, write, number, options);
  const phase = written === undefined ? 'refused' : 'applied';
  const next = withKeeper(written ?? state, number, { write: { ...write, phase } });
  return [{ name: `the write of keeper ${number} is ${phase}`, next }];
}

/** Receives the answer to a write. A lost answer is modelled as one that is never received. */
function receiveWriteAnswer(
  { state, number, keeper }: KeeperView,
  options: OwnershipOptions,
): Steps {
  const { write } = keeper;
  if (write === null) return [];
  const steps: Steps = [];
  if (options.mutation === 'read-back') {
    const version = write.assignmentVersion + 1;
    const next = withKeeper(state, number, { write: null });
    const acknowledged = { version, owner: write.owner };
    const name = `keeper ${number} has no answer and assumes that its write took effect`;
    steps.push({ name, next: { ...next, acknowledged } });
  }
  if (write.phase === 'applied') {
    const assignment = assignmentOf(write, number);
    const next = withKeeper(state, number, {
      write: null,
      assignment,
      row: keeperRowAfter(keeper.row, write),
      isReleased: false,
      isSuccessorFenced: false,
    });
    const name = `keeper ${number} is told that its write took effect`;
    steps.push({ name, next: acknowledge(next, number, assignment) });
  }
  if (write.phase === 'refused') {
    const next = withKeeper(state, number, { write: null });
    steps.push({ name: `keeper ${number} is told that its write was refused`, next });
  }
  return steps;
}

/** A write that its keeper has given up takes effect or is refused. @internal */
export function applyAbandonedWrite(state: OwnershipState, options: OwnershipOptions): Steps {
  const write = state.abandonedWrite;
  if (write?.phase !== 'in flight') return [];
  const written = stateAfterWrite(state, write, -1, options) ?? state;
  return [
    { name: 'a write that its keeper gave up arrives', next: { ...written, abandonedWrite: null } },
  ];
}
