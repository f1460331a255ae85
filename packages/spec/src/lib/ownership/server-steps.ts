import type { Step } from '../model/explore.js';
import {
  LAPSED,
  LONGEST_WAIT,
  type KeeperState,
  type OwnershipOptions,
  type OwnershipState,
  type Renewal,
  type ServerState,
  TENURE_TICKS,
} from './state.js';
import { inFixedOrder, older, withKeeper, withoutIdleClocks } from './update.js';

type Steps = Step<OwnershipState>[];

/** Steps of the backend servers, the network and the clock. @internal */
export function serverSteps(state: OwnershipState, options: OwnershipOptions): Steps {
  return [
    { name: 'one tick passes', next: tick(state, options) },
    ...state.renewals.flatMap((it) => deliver(state, it, options)),
    ...restart(state, options),
    ...grantByRow(state),
    ...grantUnrecorded(state),
  ];
}

function tick(state: OwnershipState, options: OwnershipOptions): OwnershipState {
  const aged = state.renewals.map((it) => ({ ...it, age: older(it.age, LAPSED) }));
  const keepsLate = options.mutation === 'lease-echo';
  const renewals = inFixedOrder(aged.filter((it) => keepsLate || it.age < LAPSED));
  const server = { ...state.server, leaseAge: older(state.server.leaseAge, LAPSED) };
  return { ...state, server, renewals, keepers: state.keepers.map(tickKeeper) };
}

function tickKeeper(keeper: KeeperState): KeeperState {
  if (keeper.role === 'none') return keeper;
  return withoutIdleClocks({
    ...keeper,
    sinceRead: older(keeper.sinceRead, TENURE_TICKS + 1),
    sinceAnswer: older(keeper.sinceAnswer, LAPSED),
    sinceProof: older(keeper.sinceProof, LONGEST_WAIT),
    sinceInstalled: older(keeper.sinceInstalled, LONGEST_WAIT),
  });
}

/** True when A takes a call under this keeper epoch. @internal */
export function accepts(server: ServerState, epoch: number, options: OwnershipOptions): boolean {
  return options.mutation === 'fence-check' || epoch >= server.highestKeeperEpoch;
}

function deliver(state: OwnershipState, renewal: Renewal, options: OwnershipOptions): Steps {
  const { server } = state;
  const ignoresStart = options.mutation === 'start-identity';
  if (renewal.start !== server.start && !ignoresStart) return [];
  if (!accepts(server, renewal.keeperEpoch, options)) return [];
  const next = { ...state, server: extend(server, renewal, options) };
  const name = `the renewal of keeper ${renewal.keeper} for epoch ${renewal.epoch} reaches A`;
  const sender = state.keepers[renewal.keeper];
  const lost = { name: `${name}, its answer is lost`, next };
  if (sender?.epoch !== renewal.keeperEpoch) return [lost];
  const heard = { sinceAnswer: 0, isAccepted: true, seenStart: server.start };
  return [{ name, next: withKeeper(next, renewal.keeper, heard) }, lost];
}

function extend(server: ServerState, renewal: Renewal, options: OwnershipOptions): ServerState {
  const age = options.mutation === 'lease-echo' ? 0 : renewal.age;
  const isFinal = options.mutation !== 'release-final';
  const isRefused = renewal.epoch < server.held || (isFinal && renewal.epoch <= server.released);
  return {
    ...server,
    highestKeeperEpoch: Math.max(server.highestKeeperEpoch, renewal.keeperEpoch),
    leaseAge: Math.min(server.leaseAge, age),
    held: isRefused || age >= LAPSED ? server.held : renewal.epoch,
  };
}

function restart(state: OwnershipState, options: OwnershipOptions): Steps {
  if (!options.canRestart || state.server.start > 1) return [];
  const server = { start: 2, highestKeeperEpoch: 0, leaseAge: LAPSED, held: 0, released: 0 };
  return [{ name: 'A restarts', next: { ...state, server } }];
}

/** Whoever reads the row may grant to its owner at once (rule 1). */
function grantByRow(state: OwnershipState): Steps {
  const { owner, epoch } = state.assignment;
  if (owner === 'B' && state.successor.held < epoch && state.successor.released < epoch) {
    const successor = { ...state.successor, held: epoch };
    return [{ name: `B is granted epoch ${epoch}`, next: { ...state, successor } }];
  }
  if (owner === 'C' && state.third < epoch) {
    return [{ name: `C is granted epoch ${epoch}`, next: { ...state, third: epoch } }];
  }
  return [];
}

/** The push of an unrecorded move reaches the keeper of B, which grants. */
function grantUnrecorded(state: OwnershipState): Steps {
  const { successor, unrecorded } = state;
  if (unrecorded <= successor.held || unrecorded <= successor.released) return [];
  const next = { ...state, successor: { ...successor, held: unrecorded } };
  return [{ name: `B is granted epoch ${unrecorded}, not recorded`, next }];
}
