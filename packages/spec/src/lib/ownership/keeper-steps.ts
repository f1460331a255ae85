import type { Step } from '../model/explore.js';
import { accepts } from './server-steps.js';
import { LAPSED, type OwnershipOptions, type OwnershipState, TENURE_TICKS } from './state.js';
import { type KeeperView, inFixedOrder, withKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps of one keeper towards the backend servers and the standby. @internal */
export function keeperSteps(view: KeeperView, options: OwnershipOptions): Steps {
  if (view.keeper.role === 'none') return [];
  const shared = [...contact(view, options), ...renew(view, options)];
  if (view.keeper.role === 'standby') return shared;
  return [
    ...shared,
    ...stop(view),
    ...resume(view),
    ...(options.canLapse ? askStandby(view) : []),
    ...release(view, options),
    ...fenceSuccessor(view, options),
  ];
}

/** True when the keeper treats this start of A as the one that it keeps (rule 8). */
function isKnownStart({ state, keeper }: KeeperView, options: OwnershipOptions): boolean {
  const { start } = state.server;
  if (options.mutation === 'start-identity') return true;
  if (options.mutation === 'start-row') return [0, start].includes(keeper.seenStart);
  return keeper.row.start === start;
}

/** A call without an echo: it fences earlier keepers and brings an answer. */
function contact(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const isIdle = keeper.isStoodDown || keeper.assignment.owner !== 'A';
  if (isIdle || !isKnownStart(view, options)) return [];
  if (!accepts(state.server, keeper.epoch, options)) return [];
  const highest = Math.max(state.server.highestKeeperEpoch, keeper.epoch);
  const next = { ...state, server: { ...state.server, highestKeeperEpoch: highest } };
  const heard = { sinceAnswer: 0, isAccepted: true, seenStart: state.server.start };
  return [
    { name: `keeper ${number} calls A`, next: withKeeper(next, number, heard) },
    { name: `keeper ${number} calls A, the answer is lost`, next },
  ];
}

/** The check of the tenure and the sending are one step; the renewal may be late (rule 7). */
function renew(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const isWithinTenure = keeper.sinceRead <= TENURE_TICKS || options.mutation === 'tenure';
  const hasEcho = keeper.seenStart > 0 && keeper.sinceAnswer < LAPSED;
  const mayRenew = !keeper.hasStopped && !keeper.isStoodDown && keeper.write === null;
  if (mayMeetUnrecordedMove(view, options)) return [];
  if (!isWithinTenure || !hasEcho || !mayRenew || keeper.assignment.owner !== 'A') return [];
  const renewal = {
    keeper: number,
    keeperEpoch: keeper.epoch,
    start: keeper.seenStart,
    age: keeper.sinceAnswer,
    epoch: keeper.assignment.epoch,
  };
  const renewals = inFixedOrder([...state.renewals, renewal]);
  if (renewals.length > options.maxRenewals) return [];
  const hasActed = keeper.role === 'standby';
  const next = withKeeper({ ...state, renewals }, number, { hasActed });
  return [{ name: `keeper ${number} sends a renewal for epoch ${renewal.epoch}`, next }];
}

/** Rule 9: a later keeper fences the stored successor before it renews the owner. */
function mayMeetUnrecordedMove(view: KeeperView, options: OwnershipOptions): boolean {
  const { state, number, keeper } = view;
  if (!options.canMoveUnrecorded || keeper.role === 'standby') return false;
  if (number === 0) return state.unrecorded > 0;
  const isUnchecked = ['successor-check', 'successor-renew'].includes(options.mutation ?? '');
  return !keeper.isSuccessorFenced && !isUnchecked;
}

function stop({ state, number, keeper }: KeeperView): Steps {
  if (keeper.hasStopped || keeper.assignment.owner !== 'A') return [];
  const next = withKeeper(state, number, { hasStopped: true });
  return [{ name: `keeper ${number} stops renewing`, next }];
}

function resume({ state, number, keeper }: KeeperView): Steps {
  if (!keeper.hasStopped || keeper.write !== null) return [];
  const next = withKeeper(state, number, { hasStopped: false });
  return [{ name: `keeper ${number} gives the move up and renews again`, next }];
}

function askStandby({ state, number, keeper }: KeeperView): Steps {
  const { standby } = keeper.row;
  const asked = state.keepers[standby];
  if (!keeper.hasStopped || keeper.standbyProof !== 'none' || asked?.role !== 'standby') return [];
  const next = withKeeper(state, standby, { isStoodDown: true });
  const sinceProof = asked.hasActed ? 0 : LAPSED;
  const proof = { standbyProof: 'acknowledged', sinceProof } as const;
  return [
    { name: `keeper ${standby} stands down for ${number}`, next: withKeeper(next, number, proof) },
    { name: `keeper ${standby} stands down, the answer is lost`, next },
  ];
}

function release(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  const { server, assignment } = { server: state.server, assignment: keeper.assignment };
  if (!options.canRelease || !keeper.hasStopped || keeper.isReleased) return [];
  if (!isKnownStart(view, options) || !accepts(server, keeper.epoch, options)) return [];
  if (assignment.owner !== 'A') return [];
  const next = {
    ...state,
    server: {
      ...server,
      highestKeeperEpoch: Math.max(server.highestKeeperEpoch, keeper.epoch),
      held: server.held <= assignment.epoch ? 0 : server.held,
      released: Math.max(server.released, assignment.epoch),
    },
  };
  const name = `A releases epoch ${assignment.epoch} for keeper ${number}`;
  return [
    { name, next: withKeeper(next, number, { isReleased: true }) },
    { name: `${name}, the answer is lost`, next },
  ];
}

/** B gives the reserved epoch up for good, whether it holds it or not. */
function fenceSuccessor({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  const isWanted = options.canMoveUnrecorded && number > 0 && !keeper.isSuccessorFenced;
  if (!isWanted || keeper.assignment.owner !== 'A') return [];
  const reserved = keeper.assignment.epoch + 1;
  const held = state.successor.held <= reserved ? 0 : state.successor.held;
  const released = Math.max(state.successor.released, reserved);
  const next = withKeeper({ ...state, successor: { held, released } }, number, {
    isSuccessorFenced: true,
  });
  return [{ name: `B releases epoch ${reserved} for keeper ${number}`, next }];
}
