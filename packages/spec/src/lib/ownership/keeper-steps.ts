import type { Step } from '../model/explore.js';
import { acceptsKeeperEpoch } from './server-steps.js';
import {
  MAX_LEASE_TICKS,
  type OwnershipOptions,
  type OwnershipState,
  TENURE_TICKS,
} from './state.js';
import { type KeeperView, canonicalRenewals, withKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps by which a keeper calls the backend servers and the standby. @internal */
export function keeperSteps(view: KeeperView, options: OwnershipOptions): Steps {
  if (view.keeper.role === 'none') return [];
  const shared = [...callServer(view, options), ...renew(view, options)];
  if (view.keeper.role === 'standby') return shared;
  return [
    ...shared,
    ...stopRenewing(view),
    ...resumeRenewing(view),
    ...(options.canLapse ? askStandby(view) : []),
    ...releaseShard(view, options),
    ...fenceSuccessor(view, options),
  ];
}

/** Returns whether the keeper may keep the present incarnation of A (rule 8). */
function isKnownIncarnation({ state, keeper }: KeeperView, options: OwnershipOptions): boolean {
  const { incarnation } = state.server;
  if (options.mutation === 'start-identity') return true;
  if (options.mutation === 'start-row') return [0, incarnation].includes(keeper.seenIncarnation);
  return keeper.row.incarnation === incarnation;
}

/** A call that echoes no answer: it fences earlier keepers and yields an answer to echo. */
function callServer(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const isIdle = keeper.hasStoodDown || keeper.assignment.owner !== 'A';
  if (isIdle || !isKnownIncarnation(view, options)) return [];
  if (!acceptsKeeperEpoch(state.server, keeper.epoch, options)) return [];
  const highest = Math.max(state.server.highestKeeperEpoch, keeper.epoch);
  const next = { ...state, server: { ...state.server, highestKeeperEpoch: highest } };
  const answered = { sinceAnswer: 0, isAccepted: true, seenIncarnation: state.server.incarnation };
  return [
    { name: `keeper ${number} calls A`, next: withKeeper(next, number, answered) },
    { name: `keeper ${number} calls A, the answer is lost`, next },
  ];
}

/** Checks the tenure and sends a renewal in one step; the renewal may arrive late (rule 7). */
function renew(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const isWithinTenure = keeper.sinceRead <= TENURE_TICKS || options.mutation === 'tenure';
  const hasEcho = keeper.seenIncarnation > 0 && keeper.sinceAnswer < MAX_LEASE_TICKS;
  const mayRenew = !keeper.hasStoppedRenewing && !keeper.hasStoodDown && keeper.write === null;
  if (mayConflictWithUnrecordedMove(view, options)) return [];
  if (!isWithinTenure || !hasEcho || !mayRenew || keeper.assignment.owner !== 'A') return [];
  const renewal = {
    keeper: number,
    keeperEpoch: keeper.epoch,
    incarnation: keeper.seenIncarnation,
    age: keeper.sinceAnswer,
    epoch: keeper.assignment.epoch,
  };
  const renewals = canonicalRenewals([...state.renewals, renewal]);
  if (renewals.length > options.maxRenewalsInFlight) return [];
  const hasRenewed = keeper.role === 'standby';
  const next = withKeeper({ ...state, renewals }, number, { hasRenewed });
  return [{ name: `keeper ${number} sends a renewal for epoch ${renewal.epoch}`, next }];
}

/** Rule 9: a later keeper may not renew the owner before it has fenced the stored successor. */
function mayConflictWithUnrecordedMove(view: KeeperView, options: OwnershipOptions): boolean {
  const { state, number, keeper } = view;
  if (!options.canMoveUnrecorded || keeper.role === 'standby') return false;
  if (number === 0) return state.unrecordedEpoch > 0;
  const skipsCheck = ['successor-check', 'successor-renew'].includes(options.mutation ?? '');
  return !keeper.isSuccessorFenced && !skipsCheck;
}

function stopRenewing({ state, number, keeper }: KeeperView): Steps {
  if (keeper.hasStoppedRenewing || keeper.assignment.owner !== 'A') return [];
  const next = withKeeper(state, number, { hasStoppedRenewing: true });
  return [{ name: `keeper ${number} stops renewing`, next }];
}

function resumeRenewing({ state, number, keeper }: KeeperView): Steps {
  if (!keeper.hasStoppedRenewing || keeper.write !== null) return [];
  const next = withKeeper(state, number, { hasStoppedRenewing: false });
  return [{ name: `keeper ${number} gives up the move and resumes renewing`, next }];
}

function askStandby({ state, number, keeper }: KeeperView): Steps {
  const { standby } = keeper.row;
  const asked = state.keepers[standby];
  if (!keeper.hasStoppedRenewing || keeper.standbyProof !== 'none' || asked?.role !== 'standby')
    return [];
  const next = withKeeper(state, standby, { hasStoodDown: true });
  const sinceProof = asked.hasRenewed ? 0 : MAX_LEASE_TICKS;
  const proof = { standbyProof: 'acknowledged', sinceProof } as const;
  return [
    { name: `keeper ${standby} stands down for ${number}`, next: withKeeper(next, number, proof) },
    { name: `keeper ${standby} stands down, the answer is lost`, next },
  ];
}

function releaseShard(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const { server, assignment } = { server: state.server, assignment: keeper.assignment };
  if (!options.canRelease || !keeper.hasStoppedRenewing || keeper.isReleased) return [];
  if (!isKnownIncarnation(view, options) || !acceptsKeeperEpoch(server, keeper.epoch, options))
    return [];
  if (assignment.owner !== 'A') return [];
  const next = {
    ...state,
    server: {
      ...server,
      highestKeeperEpoch: Math.max(server.highestKeeperEpoch, keeper.epoch),
      heldEpoch: server.heldEpoch <= assignment.epoch ? 0 : server.heldEpoch,
      releasedEpoch: Math.max(server.releasedEpoch, assignment.epoch),
    },
  };
  const name = `A releases epoch ${assignment.epoch} for keeper ${number}`;
  return [
    { name, next: withKeeper(next, number, { isReleased: true }) },
    { name: `${name}, the answer is lost`, next },
  ];
}

/** B releases the reserved epoch permanently, whether it holds that epoch or not. */
function fenceSuccessor({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const isWanted = options.canMoveUnrecorded && number > 0 && !keeper.isSuccessorFenced;
  if (!isWanted || keeper.assignment.owner !== 'A') return [];
  const reserved = keeper.assignment.epoch + 1;
  const heldEpoch = state.successor.heldEpoch <= reserved ? 0 : state.successor.heldEpoch;
  const releasedEpoch = Math.max(state.successor.releasedEpoch, reserved);
  const next = withKeeper({ ...state, successor: { heldEpoch, releasedEpoch } }, number, {
    isSuccessorFenced: true,
  });
  return [{ name: `B releases epoch ${reserved} for keeper ${number}`, next }];
}
