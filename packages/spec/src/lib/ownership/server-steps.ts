import type { Step } from '../model/explore.js';
import {
  MAX_LEASE_TICKS,
  MAX_WAIT_TICKS,
  type KeeperState,
  type OwnershipOptions,
  type OwnershipState,
  type Renewal,
  type ServerState,
  TENURE_TICKS,
} from './state.js';
import { canonicalRenewals, incrementAge, withKeeper, normalizedKeeper } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps of the backend servers, the network and the clocks. @internal */
export function serverSteps(state: OwnershipState, options: OwnershipOptions): Steps {
  return [
    { name: 'one tick passes', next: tick(state, options) },
    ...state.renewals.flatMap((it) => deliverRenewal(state, it, options)),
    ...restart(state, options),
    ...grantByRow(state),
    ...grantUnrecorded(state),
  ];
}

function tick(state: OwnershipState, options: OwnershipOptions): OwnershipState {
  const aged = state.renewals.map((it) => ({ ...it, age: incrementAge(it.age, MAX_LEASE_TICKS) }));
  const keepsExpired = options.mutation === 'lease-echo';
  const renewals = canonicalRenewals(aged.filter((it) => keepsExpired || it.age < MAX_LEASE_TICKS));
  const server = {
    ...state.server,
    leaseAge: incrementAge(state.server.leaseAge, MAX_LEASE_TICKS),
  };
  return { ...state, server, renewals, keepers: state.keepers.map(tickKeeper) };
}

function tickKeeper(keeper: KeeperState): KeeperState {
  if (keeper.role === 'none') return keeper;
  return normalizedKeeper({
    ...keeper,
    sinceRead: incrementAge(keeper.sinceRead, TENURE_TICKS + 1),
    sinceAnswer: incrementAge(keeper.sinceAnswer, MAX_LEASE_TICKS),
    sinceProof: incrementAge(keeper.sinceProof, MAX_WAIT_TICKS),
    sinceAppointed: incrementAge(keeper.sinceAppointed, MAX_WAIT_TICKS),
  });
}

/** Returns whether A accepts calls under this keeper epoch. @internal */
export function acceptsKeeperEpoch(
  server: ServerState,
  epoch: number,
  options: OwnershipOptions,
): boolean {
  return options.mutation === 'fence-check' || epoch >= server.highestKeeperEpoch;
}

function deliverRenewal(state: OwnershipState, renewal: Renewal, options: OwnershipOptions): Steps {
  const { server } = state;
  const ignoresIncarnation = options.mutation === 'start-identity';
  if (renewal.incarnation !== server.incarnation && !ignoresIncarnation) return [];
  if (!acceptsKeeperEpoch(server, renewal.keeperEpoch, options)) return [];
  const next = { ...state, server: extendLease(server, renewal, options) };
  const name = `the renewal of keeper ${renewal.keeper} for epoch ${renewal.epoch} reaches A`;
  const sender = state.keepers[renewal.keeper];
  const lost = { name: `${name}, its answer is lost`, next };
  if (sender?.epoch !== renewal.keeperEpoch) return [lost];
  const answered = { sinceAnswer: 0, isAccepted: true, seenIncarnation: server.incarnation };
  return [{ name, next: withKeeper(next, renewal.keeper, answered) }, lost];
}

function extendLease(
  server: ServerState,
  renewal: Renewal,
  options: OwnershipOptions,
): ServerState {
  const age = options.mutation === 'lease-echo' ? 0 : renewal.age;
  const isFinal = options.mutation !== 'release-final';
  const isRefused =
    renewal.epoch < server.heldEpoch || (isFinal && renewal.epoch <= server.releasedEpoch);
  return {
    ...server,
    highestKeeperEpoch: Math.max(server.highestKeeperEpoch, renewal.keeperEpoch),
    leaseAge: Math.min(server.leaseAge, age),
    heldEpoch: isRefused || age >= MAX_LEASE_TICKS ? server.heldEpoch : renewal.epoch,
  };
}

function restart(state: OwnershipState, options: OwnershipOptions): Steps {
  if (!options.canRestart || state.server.incarnation > 1) return [];
  const server = {
    incarnation: 2,
    highestKeeperEpoch: 0,
    leaseAge: MAX_LEASE_TICKS,
    heldEpoch: 0,
    releasedEpoch: 0,
  };
  return [{ name: 'A restarts', next: { ...state, server } }];
}

/** A router that reads the assignment row may grant the shard to its owner at once (rule 1). */
function grantByRow(state: OwnershipState): Steps {
  const { owner, epoch } = state.assignment;
  if (owner === 'B' && state.successor.heldEpoch < epoch && state.successor.releasedEpoch < epoch) {
    const successor = { ...state.successor, heldEpoch: epoch };
    return [{ name: `B is granted epoch ${epoch}`, next: { ...state, successor } }];
  }
  if (owner === 'C' && state.thirdHeldEpoch < epoch) {
    return [{ name: `C is granted epoch ${epoch}`, next: { ...state, thirdHeldEpoch: epoch } }];
  }
  return [];
}

/** The push of an unrecorded move reaches the keeper of B, which grants the shard to B. */
function grantUnrecorded(state: OwnershipState): Steps {
  const { successor, unrecordedEpoch } = state;
  if (unrecordedEpoch <= successor.heldEpoch || unrecordedEpoch <= successor.releasedEpoch)
    return [];
  const next = { ...state, successor: { ...successor, heldEpoch: unrecordedEpoch } };
  return [{ name: `B is granted the unrecorded epoch ${unrecordedEpoch}`, next }];
}
