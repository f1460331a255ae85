import type { Model, Step } from '../model/explore.js';
import type { Mutation } from '../model/mutations.js';

/** Length of a server's lease of the key, in ticks. */
const LEASE_TICKS = 2;

/**
 * State of the model: one key, the servers A and B, one leader that moves the key from A to B, and
 * one other router. A may end, start again under its id and address, and lose its paths to the
 * leader and to the other router. Another process may have its address meanwhile.
 */
export interface EndState {
  /** A's present life: 1, or 2 after it has started again. */
  readonly life: number;
  readonly isUp: boolean;
  /** The life of A that the registry shows. */
  readonly registeredLife: number;
  /** True if connections from the leader to A are refused although A lives. */
  readonly isPathCut: boolean;
  /** True if connections from the other router are refused although A lives. */
  readonly isOtherPathCut: boolean;
  /** True while another process listens at A's address, at which A can't start again then. */
  readonly isAddressTaken: boolean;
  /** True if the other router does not answer the leader; it may still reach A. */
  readonly isOtherSilent: boolean;
  /** Ticks left of the lease of A's present life. */
  readonly leaseLeft: number;
  readonly hasBLease: boolean;
  /** `'moving'` once the leader sends A no more grants, `'moved'` once B is granted the key. */
  readonly phase: 'leading' | 'moving' | 'moved';
  /** How much longer A may hold the key, as the leader knows from its answered grants. */
  readonly boundLeft: number;
  /** Who was refused by A as far as the leader knows; that is a suspicion of A's end, no proof. */
  readonly refused: 'none' | 'leader' | 'all';
  /** True if another process answered at A's address. */
  readonly isEndSeen: boolean;
  /** True if a grant was answered after that. */
  readonly isGrantedSince: boolean;
}

/** The rule that is removed, if any. */
export interface EndOptions {
  readonly mutation: Mutation | undefined;
}

type Steps = Step<EndState>[];

const INITIAL: EndState = {
  life: 1,
  isUp: true,
  registeredLife: 1,
  isPathCut: false,
  isOtherPathCut: false,
  isAddressTaken: false,
  isOtherSilent: false,
  leaseLeft: LEASE_TICKS,
  hasBLease: false,
  phase: 'leading',
  boundLeft: LEASE_TICKS,
  refused: 'none',
  isEndSeen: false,
  isGrantedSince: false,
};

/** Model of a key whose owner has ended, or only seems to have. */
export function createEndModel(options: EndOptions): Model<EndState> {
  return {
    initial: INITIAL,
    steps: (state) => [
      ...worldSteps(state),
      ...renew(state),
      ...refusalSteps(state, options),
      ...answerOfAnother(state),
      ...moveSteps(state, options),
    ],
    violation: ({ leaseLeft, hasBLease }) =>
      leaseLeft > 0 && hasBLease ? 'both servers hold the key' : undefined,
    goals: {
      'the key moves because A has ended': ({ phase, boundLeft }) =>
        phase === 'moved' && boundLeft > 0,
      'the key moves while A lives behind a cut path': ({ phase, isUp, isPathCut }) =>
        phase === 'moved' && isUp && isPathCut,
      'the key moves while A lives behind cuts from all routers': (state) =>
        state.phase === 'moved' && state.isUp && state.isPathCut && state.isOtherPathCut,
      'a later life holds the key by a grant for the former one': ({ life, leaseLeft }) =>
        life === 2 && leaseLeft > 0,
    },
  };
}

function worldSteps(state: EndState): Steps {
  const { life, isUp, registeredLife, leaseLeft, boundLeft, isAddressTaken } = state;
  const aged = {
    ...state,
    leaseLeft: Math.max(0, leaseLeft - 1),
    boundLeft: Math.max(0, boundLeft - 1),
  };
  const steps: Steps = [{ name: 'time passes', next: aged }];
  if (isUp) steps.push({ name: 'A ends', next: { ...state, isUp: false, leaseLeft: 0 } });
  if (!isUp && life === 1 && !isAddressTaken)
    steps.push({ name: 'A starts again', next: { ...state, isUp: true, life: 2 } });
  if (!isUp && !isAddressTaken)
    steps.push({
      name: 'another process takes the address',
      next: { ...state, isAddressTaken: true },
    });
  if (isAddressTaken)
    steps.push({ name: 'the other process ends', next: { ...state, isAddressTaken: false } });
  if (registeredLife < life)
    steps.push({ name: 'the registry shows it', next: { ...state, registeredLife: life } });
  return [...steps, ...pathSteps(state)];
}

function pathSteps(state: EndState): Steps {
  const steps: Steps = [];
  if (!state.isPathCut)
    steps.push({ name: 'the path is cut', next: { ...state, isPathCut: true } });
  if (!state.isOtherPathCut)
    steps.push({ name: 'the other path is cut', next: { ...state, isOtherPathCut: true } });
  if (!state.isOtherSilent)
    steps.push({ name: 'the other router falls silent', next: { ...state, isOtherSilent: true } });
  return steps;
}

const isRefused = ({ isUp, isPathCut, isAddressTaken }: EndState) =>
  isPathCut || (!isUp && !isAddressTaken);

const isRefusedToOther = ({ isUp, isOtherPathCut }: EndState) => !isUp || isOtherPathCut;

/** The grant names A's id and address, so that any life of A accepts it. */
function renew(state: EndState): Steps {
  if (state.phase !== 'leading' || !state.isUp || state.isPathCut) return [];
  const isGrantedSince = state.isEndSeen;
  const granted = { ...state, leaseLeft: LEASE_TICKS, boundLeft: LEASE_TICKS, isGrantedSince };
  return [{ name: 'the leader renews the lease', next: granted }];
}

function refusalSteps(state: EndState, { mutation }: EndOptions): Steps {
  const { refused, isOtherSilent } = state;
  if (refused === 'none' && isRefused(state)) {
    const asked = { ...state, refused: 'leader' } as const;
    return [{ name: 'the leader is refused and asks', next: asked }];
  }
  if (refused !== 'leader') return [];
  if (isOtherSilent) {
    if (mutation !== 'end-silent') return [];
    return [{ name: 'silence counts as a refusal', next: { ...state, refused: 'all' } }];
  }
  return isRefusedToOther(state)
    ? [{ name: 'the other router is refused', next: { ...state, refused: 'all' } }]
    : [{ name: 'the other router reaches A', next: { ...state, refused: 'none' } }];
}

function answerOfAnother(state: EndState): Steps {
  if (!state.isAddressTaken || state.isPathCut) return [];
  const seen = { ...state, isEndSeen: true, isGrantedSince: false };
  return [{ name: 'another process answers at the address', next: seen }];
}

function isEndProved(state: EndState, { mutation }: EndOptions): boolean {
  const { refused, isEndSeen, isGrantedSince, registeredLife } = state;
  if (mutation === 'end-refused' && refused !== 'none') return true;
  if (mutation === 'end-later-start' && registeredLife > 1) return true;
  const isAllRefusalProof = mutation === 'end-all-refused' || mutation === 'end-silent';
  if (isAllRefusalProof && refused === 'all') return true;
  return isEndSeen && (!isGrantedSince || mutation === 'end-since');
}

function moveSteps(state: EndState, options: EndOptions): Steps {
  const { phase, isUp, isPathCut, isOtherSilent, isOtherPathCut, boundLeft } = state;
  if (phase === 'leading')
    return [{ name: 'the leader moves the key', next: { ...state, phase: 'moving' } }];
  if (phase === 'moved') return [];
  const steps: Steps = [];
  const isOverOther = !isOtherSilent && !isOtherPathCut;
  const isReached = isUp && (!isPathCut || isOverOther);
  if (isReached && boundLeft > 0)
    steps.push({ name: 'A releases the key', next: { ...state, leaseLeft: 0, boundLeft: 0 } });
  if (boundLeft === 0 || isEndProved(state, options))
    steps.push({
      name: 'B is granted the key',
      next: { ...state, phase: 'moved', hasBLease: true },
    });
  return steps;
}
