import type { Model, Step } from '../model/explore.js';
import type { Mutation } from '../model/mutations.js';

/** Length of a server's lease of the key, in ticks. */
const LEASE_TICKS = 2;

/**
 * State of the model: one key, the servers A and B, one leader that moves the key from A to B, and
 * one other router. A may end, start again under its id and address, and lose its path to the
 * leader.
 */
export interface EndState {
  /** A's present life: 1, or 2 after it has started again. */
  readonly life: number;
  readonly isUp: boolean;
  /** The life of A that the registry shows. */
  readonly registeredLife: number;
  /** True if connections from the leader to A are refused although A lives. */
  readonly isPathCut: boolean;
  /** True if the other router does not answer the leader; it may still reach A. */
  readonly isOtherSilent: boolean;
  /** Ticks left of the lease of A's present life. */
  readonly leaseLeft: number;
  readonly hasBLease: boolean;
  /** `'moving'` once the leader sends A no more grants, `'moved'` once B is granted the key. */
  readonly phase: 'leading' | 'moving' | 'moved';
  /** How much longer A may hold the key, as the leader knows from its answered grants. */
  readonly boundLeft: number;
  /** The leader's question whether A has ended: `'closed'` if the other router was refused too. */
  readonly question: 'none' | 'asked' | 'closed';
  /** True if a grant was answered after the question had begun. */
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
  isOtherSilent: false,
  leaseLeft: LEASE_TICKS,
  hasBLease: false,
  phase: 'leading',
  boundLeft: LEASE_TICKS,
  question: 'none',
  isGrantedSince: false,
};

/** Model of a key whose owner has ended, or only seems to have. */
export function createEndModel(options: EndOptions): Model<EndState> {
  return {
    initial: INITIAL,
    steps: (state) => [
      ...worldSteps(state),
      ...renew(state),
      ...questionSteps(state, options),
      ...moveSteps(state, options),
    ],
    violation: ({ leaseLeft, hasBLease }) =>
      leaseLeft > 0 && hasBLease ? 'both servers hold the key' : undefined,
    goals: {
      'the key moves because A has ended': ({ phase, boundLeft }) =>
        phase === 'moved' && boundLeft > 0,
      'the key moves while A lives behind a cut path': ({ phase, isUp, isPathCut }) =>
        phase === 'moved' && isUp && isPathCut,
      'a later life holds the key by a grant for the former one': ({ life, leaseLeft }) =>
        life === 2 && leaseLeft > 0,
    },
  };
}

function worldSteps(state: EndState): Steps {
  const { life, isUp, registeredLife, isPathCut, isOtherSilent, leaseLeft, boundLeft } = state;
  const aged = {
    ...state,
    leaseLeft: Math.max(0, leaseLeft - 1),
    boundLeft: Math.max(0, boundLeft - 1),
  };
  const steps: Steps = [{ name: 'time passes', next: aged }];
  if (isUp) steps.push({ name: 'A ends', next: { ...state, isUp: false, leaseLeft: 0 } });
  if (!isUp && life === 1)
    steps.push({ name: 'A starts again', next: { ...state, isUp: true, life: 2 } });
  if (registeredLife < life)
    steps.push({ name: 'the registry shows it', next: { ...state, registeredLife: life } });
  if (!isPathCut) steps.push({ name: 'the path is cut', next: { ...state, isPathCut: true } });
  if (!isOtherSilent)
    steps.push({ name: 'the other router falls silent', next: { ...state, isOtherSilent: true } });
  return steps;
}

const isRefused = ({ isUp, isPathCut }: EndState) => !isUp || isPathCut;

/** The grant names A's id and address, so that any life of A accepts it. */
function renew(state: EndState): Steps {
  if (state.phase !== 'leading' || isRefused(state)) return [];
  const isGrantedSince = state.question !== 'none';
  const granted = { ...state, leaseLeft: LEASE_TICKS, boundLeft: LEASE_TICKS, isGrantedSince };
  return [{ name: 'the leader renews the lease', next: granted }];
}

function questionSteps(state: EndState, { mutation }: EndOptions): Steps {
  const { question, isUp, isOtherSilent } = state;
  if (question === 'none' && isRefused(state)) {
    const asked = { ...state, question: 'asked', isGrantedSince: false } as const;
    return [{ name: 'the leader is refused and asks', next: asked }];
  }
  if (question !== 'asked') return [];
  if (isOtherSilent) {
    if (mutation !== 'end-silent') return [];
    return [{ name: 'silence counts as a refusal', next: { ...state, question: 'closed' } }];
  }
  return isUp
    ? [{ name: 'the other router reaches A', next: { ...state, question: 'none' } }]
    : [{ name: 'the other router is refused', next: { ...state, question: 'closed' } }];
}

function isEndProved(state: EndState, { mutation }: EndOptions): boolean {
  const { question, isGrantedSince, registeredLife } = state;
  if (mutation === 'end-refused' && question !== 'none') return true;
  if (mutation === 'end-later-start' && registeredLife > 1) return true;
  const isForAllGrants = !isGrantedSince || mutation === 'end-since';
  return question === 'closed' && isForAllGrants;
}

function moveSteps(state: EndState, options: EndOptions): Steps {
  const { phase, isUp, isPathCut, isOtherSilent, boundLeft } = state;
  if (phase === 'leading')
    return [{ name: 'the leader moves the key', next: { ...state, phase: 'moving' } }];
  if (phase === 'moved') return [];
  const steps: Steps = [];
  const isReached = isUp && (!isPathCut || !isOtherSilent);
  if (isReached && boundLeft > 0)
    steps.push({ name: 'A releases the key', next: { ...state, leaseLeft: 0, boundLeft: 0 } });
  if (boundLeft === 0 || isEndProved(state, options))
    steps.push({
      name: 'B is granted the key',
      next: { ...state, phase: 'moved', hasBLease: true },
    });
  return steps;
}
