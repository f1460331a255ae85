import {
  MAX_LEASE_TICKS,
  LEASE_TICKS,
  MAX_WAIT_TICKS,
  TENURE_TICKS,
  type KeeperState,
  type OwnershipOptions,
} from './state.js';

/** Returns whether no renewal by the standby can extend the lease of A any more. */
function isStandbyRuledOut(keeper: KeeperState, options: OwnershipOptions): boolean {
  if (options.mutation === 'stand-down') return true;
  if (keeper.standbyProof === 'acknowledged') return keeper.sinceProof >= MAX_LEASE_TICKS;
  if (keeper.standbyProof === 'removed') return keeper.sinceProof >= MAX_WAIT_TICKS;
  return keeper.row.standby < 0;
}

/** Rule 6: returns whether the lease of A has lapsed for certain. @internal */
export function mustHaveLapsed(keeper: KeeperState, options: OwnershipOptions): boolean {
  const { mutation } = options;
  if (!options.canLapse || !keeper.hasStoppedRenewing || !isStandbyRuledOut(keeper, options))
    return false;
  if (mutation === 'wait-lease') return true;
  const wait = mutation === 'margin' ? LEASE_TICKS : MAX_LEASE_TICKS;
  if (keeper.isAccepted) return keeper.sinceAnswer >= wait;
  const tenure = mutation === 'wait-tenure' ? 0 : TENURE_TICKS;
  return keeper.sinceAppointed >= tenure + MAX_LEASE_TICKS;
}
