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

/** Steps of a write on its way: it lands or not, and its answer is heard or not. @internal */
export function writeSteps(view: KeeperView, options: OwnershipOptions): Steps {
  return [...landWrite(view, options), ...answerWrite(view, options)];
}

/** Notes an assignment as acknowledged when the keeper wrote it itself. @internal */
export function acknowledge(
  state: OwnershipState,
  number: number,
  { version, owner, token }: Assignment,
): OwnershipState {
  if (token !== number || version < state.acknowledged.version) return state;
  return { ...state, acknowledged: { version, owner } };
}

/** Rule 2: the write takes effect only under the versions that it was made for. */
function apply(
  state: OwnershipState,
  write: PendingWrite,
  token: number,
  options: OwnershipOptions,
): OwnershipState | undefined {
  const checksRow = options.mutation !== 'keeper-row-check';
  if (state.assignment.version !== write.assignVersion) return undefined;
  if (checksRow && state.keeperRow.version !== write.keeperVersion) return undefined;
  const keeperRow = rowAfter(state.keeperRow, write);
  return { ...state, assignment: assignmentOf(write, token), keeperRow };
}

function assignmentOf({ owner, epoch, assignVersion }: PendingWrite, token: number): Assignment {
  return { version: assignVersion + 1, owner, epoch, token };
}

/** A new start of A changes the keeper row, too (rule 8). */
function rowAfter(row: KeeperRow, { start }: PendingWrite): KeeperRow {
  return start === row.start ? row : { ...row, version: row.version + 1, start };
}

function landWrite({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { write } = keeper;
  if (write?.phase !== 'flying') return [];
  const written = apply(state, write, number, options);
  const phase = written === undefined ? 'refused' : 'landed';
  const next = withKeeper(written ?? state, number, { write: { ...write, phase } });
  return [{ name: `the write of keeper ${number} is ${phase}`, next }];
}

/** An answer that is lost is one that is never heard. */
function answerWrite({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { write } = keeper;
  if (write === null) return [];
  const steps: Steps = [];
  if (options.mutation === 'read-back') {
    const version = write.assignVersion + 1;
    const next = withKeeper(state, number, { write: null });
    const acknowledged = { version, owner: write.owner };
    const name = `keeper ${number} has no answer and counts its write as done`;
    steps.push({ name, next: { ...next, acknowledged } });
  }
  if (write.phase === 'landed') {
    const assignment = assignmentOf(write, number);
    const next = withKeeper(state, number, {
      write: null,
      assignment,
      row: rowAfter(keeper.row, write),
      isReleased: false,
      isSuccessorFenced: false,
    });
    const name = `keeper ${number} hears that its write took effect`;
    steps.push({ name, next: acknowledge(next, number, assignment) });
  }
  if (write.phase === 'refused') {
    const next = withKeeper(state, number, { write: null });
    steps.push({ name: `keeper ${number} hears that its write was refused`, next });
  }
  return steps;
}

/** Lands a write that its keeper has given up. @internal */
export function landStrayWrite(state: OwnershipState, options: OwnershipOptions): Steps {
  const write = state.strayWrite;
  if (write?.phase !== 'flying') return [];
  const written = apply(state, write, -1, options) ?? state;
  return [{ name: 'a write that was given up lands', next: { ...written, strayWrite: null } }];
}
