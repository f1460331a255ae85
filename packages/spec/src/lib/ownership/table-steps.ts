import type { Step } from '../model/explore.js';
import { IDLE_KEEPER } from './initial-state.js';
import {
  type KeeperRow,
  type KeeperState,
  LAPSED,
  LEASE_TICKS,
  LONGEST_WAIT,
  type OwnershipOptions,
  type OwnershipState,
  type PendingWrite,
  type ServerName,
  TENURE_TICKS,
} from './state.js';
import { type KeeperView, withKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps of one router towards the table. @internal */
export function tableSteps(view: KeeperView, options: OwnershipOptions): Steps {
  return [
    ...read(view, options),
    ...replaceKeeper(view, options),
    ...(options.canLapse ? removeStandby(view, options) : []),
    ...startWrite(view, options),
    ...landWrite(view, options),
    ...answerWrite(view, options),
    ...moveUnrecorded(view, options),
  ];
}

function read({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow, assignment } = state;
  if (!state.isStoreUp) return [];
  const name = `keeper ${number} reads the table`;
  if (keeper.role === 'none') {
    // A router whose own write of the row got no answer finds itself in it.
    const isInstalled = keeperRow.acting === number;
    if (!isInstalled) return [];
    return [{ name, next: withKeeper(state, number, installed(state, options)) }];
  }
  const isNamed = keeperRow.acting === number && keeperRow.actingEpoch === keeper.epoch;
  const isStandby = keeperRow.standby === number && keeper.role === 'standby';
  if (!isNamed && !isStandby) {
    const stray = keeper.write?.phase === 'flying' ? keeper.write : state.strayWrite;
    const next = { ...state, strayWrite: stray };
    return [{ name, next: withKeeper(next, number, { role: 'none' }) }];
  }
  const seen: Partial<KeeperState> = { row: keeperRow, assignment, sinceRead: 0 };
  const isNew = assignment.version > keeper.assignment.version;
  const isSettled = keeper.write !== null && hasMovedOn(state, keeper.write);
  const fresh = isNew ? { isReleased: false, isSuccessorFenced: false } : {};
  const isRemoved = keeper.role === 'acting' && keeper.row.standby >= 0 && keeperRow.standby < 0;
  const proof = isRemoved ? ({ standbyProof: 'removed', sinceProof: 0 } as const) : {};
  const settled = isSettled ? { write: null } : {};
  const next = withKeeper(state, number, { ...seen, ...fresh, ...proof, ...settled });
  const steps = [{ name, next: isSettled ? acknowledge(next, number) : next }];
  const isMissing = keeper.write !== null && !isSettled;
  if (options.mutation === 'settle-write' && isMissing) {
    const stray = { ...next, strayWrite: keeper.write };
    const given = withKeeper(stray, number, { write: null });
    steps.push({ name: `${name} and takes its write for failed`, next: given });
  }
  return steps;
}

/** A write can't land any more once either of its rows has a higher version. */
function hasMovedOn({ assignment, keeperRow }: OwnershipState, write: PendingWrite): boolean {
  return assignment.version > write.assignVersion || keeperRow.version > write.keeperVersion;
}

/** Notes the assignment as acknowledged when the keeper wrote it itself. */
function acknowledge(state: OwnershipState, number: number): OwnershipState {
  const { version, owner, token } = state.assignment;
  if (token !== number || version < state.acknowledged.version) return state;
  return { ...state, acknowledged: { version, owner } };
}

function installed(state: OwnershipState, options: OwnershipOptions): KeeperState {
  return {
    ...IDLE_KEEPER,
    role: 'acting',
    epoch: state.keeperRow.actingEpoch,
    row: state.keeperRow,
    assignment: state.assignment,
    sinceRead: 0,
    sinceInstalled: options.canLapse ? 0 : LONGEST_WAIT,
  };
}

/** The standby or another router writes itself into the keeper row as the acting keeper. */
function replaceKeeper({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow } = state;
  const mayReplace = keeper.role !== 'acting' && number > 0;
  if (!mayReplace || !state.isStoreUp || keeperRow.acting === number) return [];
  if (keeperRow.version >= options.maxKeeperVersion) return [];
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
    { name, next: withKeeper(next, number, installed(next, options)) },
    { name: `${name}, the answer is lost`, next },
  ];
}

function removeStandby({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { keeperRow } = state;
  const isWanted = keeper.role === 'acting' && keeper.hasStopped && keeper.row.standby >= 0;
  if (!isWanted || !state.isStoreUp || keeper.standbyProof !== 'none') return [];
  if (keeper.row.version !== keeperRow.version) return [];
  if (keeperRow.version >= options.maxKeeperVersion) return [];
  const row = { ...keeperRow, version: keeperRow.version + 1, standby: -1 };
  const next = { ...state, keeperRow: row };
  const known = { row, standbyProof: 'removed', sinceProof: 0 } as const;
  const name = `keeper ${number} removes the standby from the row`;
  return [
    { name, next: withKeeper(next, number, known) },
    { name: `${name}, the answer is lost`, next },
  ];
}

function isStandbySafe(keeper: KeeperState, options: OwnershipOptions): boolean {
  if (options.mutation === 'stand-down') return true;
  if (keeper.standbyProof === 'acknowledged') return keeper.sinceProof >= LAPSED;
  if (keeper.standbyProof === 'removed') return keeper.sinceProof >= LONGEST_WAIT;
  return keeper.row.standby < 0;
}

/** Rule 6: true when the lease of A must have lapsed. */
function mustHaveLapsed(keeper: KeeperState, options: OwnershipOptions): boolean {
  const { mutation } = options;
  if (!options.canLapse || !keeper.hasStopped || !isStandbySafe(keeper, options)) return false;
  if (mutation === 'wait-lease') return true;
  const wait = mutation === 'margin' ? LEASE_TICKS : LAPSED;
  if (keeper.isAccepted) return keeper.sinceAnswer >= wait;
  const tenure = mutation === 'wait-tenure' ? 0 : TENURE_TICKS;
  return keeper.sinceInstalled >= tenure + LAPSED;
}

function startWrite(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  if (keeper.role !== 'acting' || keeper.write !== null) return [];
  if (keeper.assignment.owner !== 'A') return [];
  if (keeper.assignment.version > options.maxMoves) return [];
  const isOwnerSafe = keeper.isReleased || mustHaveLapsed(keeper, options);
  if (!isOwnerSafe) return [];
  return targets(view, options).map((owner) => {
    const write = writeFor(view, owner, options);
    const name = `keeper ${number} sends the write that ${owner} owns the shard under ${write.epoch}`;
    return { name, next: withKeeper(state, number, { write }) };
  });
}

/** Whoever may meet an unrecorded move has to make sure of the stored successor, too (rule 9). */
function targets({ keeper, number }: KeeperView, options: OwnershipOptions): ServerName[] {
  if (!options.canMoveUnrecorded) return movesToItself(options) ? ['A', 'B'] : ['B'];
  if (number === 0) return ['B'];
  return keeper.isSuccessorFenced || options.mutation === 'successor-check' ? ['C'] : [];
}

function movesToItself(options: OwnershipOptions): boolean {
  return options.canRelease || options.canRestart;
}

function writeFor(
  { state, number, keeper }: KeeperView,
  owner: ServerName,
  options: OwnershipOptions,
): PendingWrite {
  const isRecording = state.unrecorded > 0 && number === 0;
  const step = options.mutation === 'epoch-reservation' || isRecording ? 1 : 2;
  return {
    owner,
    epoch: keeper.assignment.epoch + step,
    assignVersion: keeper.assignment.version,
    keeperVersion: keeper.row.version,
    // A new start of A enters the keeper row together with the new epoch (rule 8).
    start: owner === 'A' ? state.server.start : keeper.row.start,
    phase: 'flying',
  };
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
  const { owner, epoch, start } = write;
  const assignment = { version: write.assignVersion + 1, owner, epoch, token };
  if (start === state.keeperRow.start) return { ...state, assignment };
  const keeperRow = { ...state.keeperRow, version: state.keeperRow.version + 1, start };
  return { ...state, assignment, keeperRow };
}

function landWrite({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const { write } = keeper;
  if (write?.phase !== 'flying' || !state.isStoreUp) return [];
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
    const next = withKeeper(state, number, {
      write: null,
      assignment: state.assignment,
      row: state.keeperRow,
      isReleased: false,
      isSuccessorFenced: false,
    });
    const name = `keeper ${number} hears that its write took effect`;
    steps.push({ name, next: acknowledge(next, number) });
  }
  if (write.phase === 'refused') {
    const next = withKeeper(state, number, { write: null });
    steps.push({ name: `keeper ${number} hears that its write was refused`, next });
  }
  return steps;
}

/** Rule 9: the acting keeper moves the shard to its stored successor without the table. */
function moveUnrecorded({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  if (!options.canMoveUnrecorded || keeper.role !== 'acting' || state.unrecorded > 0) return [];
  const isSafe = keeper.standbyProof === 'acknowledged' && mustHaveLapsed(keeper, options);
  if (!isSafe || keeper.assignment.owner !== 'A' || keeper.write !== null) return [];
  const next = { ...state, unrecorded: keeper.assignment.epoch + 1 };
  return [{ name: `keeper ${number} moves the shard to B without the table`, next }];
}

/** Lands a write that its keeper has given up. @internal */
export function landStrayWrite(state: OwnershipState, options: OwnershipOptions): Steps {
  const write = state.strayWrite;
  if (write?.phase !== 'flying' || !state.isStoreUp) return [];
  const written = apply(state, write, -1, options) ?? state;
  return [{ name: 'a write that was given up lands', next: { ...written, strayWrite: null } }];
}
