import type { Step } from '../model/explore.js';
import { mustHaveLapsed } from './lapse-proof.js';
import {
  type OwnershipOptions,
  type OwnershipState,
  type PendingWrite,
  type ServerName,
} from './state.js';
import { type KeeperView, withKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps by which the acting keeper moves the shard, with or without the table. @internal */
export function moveSteps(view: KeeperView, options: OwnershipOptions): Steps {
  return [...startWrite(view, options), ...moveUnrecorded(view, options)];
}

function startWrite(view: KeeperView, options: OwnershipOptions): Steps {
  const { state, number, keeper } = view;
  if (keeper.role !== 'acting' || keeper.write !== null) return [];
  if (keeper.assignment.owner !== 'A') return [];
  if (keeper.assignment.version > options.maxMoves) return [];
  const hasOwnerLostShard = keeper.isReleased || mustHaveLapsed(keeper, options);
  if (!hasOwnerLostShard) return [];
  return allowedOwners(view, options).map((owner) => {
    const write = writeFor(view, owner, options);
    const name = `keeper ${number} sends a write: ${owner} owns the shard under epoch ${write.epoch}`;
    return { name, next: withKeeper(state, number, { write }) };
  });
}

/**
 * Returns the servers to which the keeper may move the shard. A later keeper that can't rule out an
 * unrecorded move has to fence the stored successor first (rule 9).
 */
function allowedOwners({ keeper, number }: KeeperView, options: OwnershipOptions): ServerName[] {
  if (!options.canMoveUnrecorded) return mayReassignToOwner(options) ? ['A', 'B'] : ['B'];
  if (number === 0) return ['B'];
  return keeper.isSuccessorFenced || options.mutation === 'successor-check' ? ['C'] : [];
}

function mayReassignToOwner(options: OwnershipOptions): boolean {
  return options.canRelease || options.canRestart;
}

function writeFor(
  { state, number, keeper }: KeeperView,
  owner: ServerName,
  options: OwnershipOptions,
): PendingWrite {
  const isRecording = state.unrecordedEpoch > 0 && number === 0;
  const epochIncrement = options.mutation === 'epoch-reservation' || isRecording ? 1 : 2;
  return {
    owner,
    epoch: keeper.assignment.epoch + epochIncrement,
    assignmentVersion: keeper.assignment.version,
    keeperRowVersion: keeper.row.version,
    // One transaction writes a new incarnation of A and the new epoch (rule 8).
    incarnation: owner === 'A' ? state.server.incarnation : keeper.row.incarnation,
    phase: 'in flight',
  };
}

/** Rule 9: the acting keeper moves the shard to its stored successor without the table. */
function moveUnrecorded({ state, number, keeper }: KeeperView, options: OwnershipOptions): Steps {
  if (!options.canMoveUnrecorded || keeper.role !== 'acting' || state.unrecordedEpoch > 0)
    return [];
  const hasLeaseLapsed = keeper.standbyProof === 'acknowledged' && mustHaveLapsed(keeper, options);
  if (!hasLeaseLapsed || keeper.assignment.owner !== 'A' || keeper.write !== null) return [];
  const next = { ...state, unrecordedEpoch: keeper.assignment.epoch + 1 };
  return [{ name: `keeper ${number} moves the shard to B without the table`, next }];
}
