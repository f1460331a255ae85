import type { Model, Step } from '../model/explore.js';
import { initialState } from './initial-state.js';
import { keeperRowSteps } from './keeper-row-steps.js';
import { keeperSteps } from './keeper-steps.js';
import { moveSteps } from './move-steps.js';
import { serverSteps } from './server-steps.js';
import type { OwnershipOptions, OwnershipState } from './state.js';
import { canServerAct } from './update.js';
import { applyAbandonedWrite, writeSteps } from './write-steps.js';

/**
 * Model of the ownership of one shard, which A holds at first, with A's keepers and the table.
 * Comments in this folder cite rules by their numbers in `packages/ownership/DESIGN.md`.
 */
export function createOwnershipModel(options: OwnershipOptions): Model<OwnershipState> {
  return {
    initial: initialState(options),
    steps: (state) => steps(state, options),
    violation,
    goals: {
      'an owner serves': (state) => actingServerCount(state) === 1,
      'an acknowledged move': (state) => state.acknowledged.version > 1,
      'the new owner serves': (state) =>
        state.acknowledged.version > 1 && actingServerCount(state) === 1,
      ...(options.canMoveUnrecorded && {
        'an unrecorded owner serves': (state: OwnershipState) =>
          state.unrecordedEpoch > 0 && state.successor.heldEpoch === state.unrecordedEpoch,
      }),
    },
  };
}

/**
 * Returns all possible steps. None of them has to be taken, so paused processes, partitions and
 * outages of the table are covered as runs without the respective steps.
 */
function steps(state: OwnershipState, options: OwnershipOptions): Step<OwnershipState>[] {
  const ofKeepers = state.keepers.flatMap((keeper, number) => {
    const view = { state, number, keeper };
    return [
      ...keeperSteps(view, options),
      ...keeperRowSteps(view, options),
      ...moveSteps(view, options),
      ...writeSteps(view, options),
    ];
  });
  return [...serverSteps(state, options), ...ofKeepers, ...applyAbandonedWrite(state, options)];
}

function actingServerCount(state: OwnershipState): number {
  const acting = [canServerAct(state), state.successor.heldEpoch > 0, state.thirdHeldEpoch > 0];
  return acting.filter(Boolean).length;
}

function violation(state: OwnershipState): string | undefined {
  const { assignment, acknowledged, unrecordedEpoch } = state;
  if (actingServerCount(state) > 1) return 'two backend servers can act for the shard';
  if (assignment.version < acknowledged.version) return 'an acknowledged assignment is lost';
  if (assignment.version === acknowledged.version && assignment.owner !== acknowledged.owner) {
    return 'an acknowledged assignment names another owner';
  }
  if (assignment.epoch === unrecordedEpoch && assignment.owner !== 'B') {
    return `epoch ${unrecordedEpoch} has two owners`;
  }
  const granted = [state.server.heldEpoch, state.successor.heldEpoch, state.thirdHeldEpoch];
  if (granted.some((it) => it > assignment.epoch && it !== unrecordedEpoch)) {
    return 'a server holds a higher epoch than the table has: the epoch decreased';
  }
  return undefined;
}
