import { stateKey } from '../model/state-key.js';
import { IDLE_KEEPER } from './initial-state.js';
import {
  type KeeperState,
  MAX_LEASE_TICKS,
  MAX_WAIT_TICKS,
  type OwnershipState,
  type Renewal,
  TENURE_TICKS,
} from './state.js';

/** A keeper with its number and the state that it is part of. @internal */
export interface KeeperView {
  readonly state: OwnershipState;
  readonly number: number;
  readonly keeper: KeeperState;
}

/** Returns the state with one keeper changed. @internal */
export function withKeeper(
  state: OwnershipState,
  number: number,
  change: Partial<KeeperState>,
): OwnershipState {
  const keepers = state.keepers.map((it, index) => {
    if (index !== number) return it;
    const changed = { ...it, ...change };
    return changed.role === 'none' ? IDLE_KEEPER : normalizedKeeper(changed);
  });
  return { ...state, keepers };
}

/**
 * Sets fields that no rule reads in this state to fixed values, so that states which differ only in
 * them are equal. @internal
 */
export function normalizedKeeper(keeper: KeeperState): KeeperState {
  if (keeper.assignment.owner !== 'A' || keeper.hasStoodDown)
    return normalizedInactiveKeeper(keeper);
  const needsProofAge =
    keeper.standbyProof === 'removed' ||
    (keeper.standbyProof === 'acknowledged' && keeper.sinceProof < MAX_LEASE_TICKS);
  const { hasStoppedRenewing, isAccepted } = keeper;
  return {
    ...keeper,
    // A keeper that gives up a move reads its row again before it renews.
    sinceRead: hasStoppedRenewing ? TENURE_TICKS + 1 : keeper.sinceRead,
    sinceAppointed: isAccepted ? MAX_WAIT_TICKS : keeper.sinceAppointed,
    sinceProof: needsProofAge ? keeper.sinceProof : MAX_WAIT_TICKS,
  };
}

function normalizedInactiveKeeper(keeper: KeeperState): KeeperState {
  const { role, epoch, row, assignment, hasRenewed, hasStoodDown, write } = keeper;
  return {
    ...IDLE_KEEPER,
    role,
    epoch,
    row,
    assignment,
    hasRenewed,
    hasStoodDown,
    write,
  };
}

/** Returns the renewals without duplicates, in a fixed order. @internal */
export function canonicalRenewals(renewals: readonly Renewal[]): Renewal[] {
  const byText = new Map(renewals.map((it) => [stateKey(it), it]));
  return [...byText].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, it]) => it);
}

/** Adds one tick to an age and stops at its bound. @internal */
export function incrementAge(age: number, bound: number): number {
  return Math.min(age + 1, bound);
}

/** True while A may act for the shard. @internal */
export function canServerAct(state: OwnershipState): boolean {
  return state.server.heldEpoch > 0 && state.server.leaseAge < MAX_LEASE_TICKS;
}
