import type { Model, Step } from '../model/explore.js';
import type { Mutation } from '../model/mutations.js';

/** Ticks after the store took the word of a leaving server in which requests may reach it. */
const NOTICE_TICKS = 4;
/** Ticks of the notice in which a router sends it requests. */
const USE_TICKS = 4;
/** Ticks after what the leader's reports cover from which a router asks the store itself. */
const RELY_TICKS = 3;
const MAX_AGE_TICKS = RELY_TICKS + 2;

/** State of the model: a server that leaves, the leader, and a router that the leader reports to. */
export interface LeaveState {
  /** Ticks since the store took the server's word; -1 before. */
  readonly leftFor: number;
  /** True once the store is silent to the leader, which does not notice. */
  readonly isLeaderCut: boolean;
  readonly doesLeaderKnow: boolean;
  /** Ticks since the time up to which the leader knew all changes. */
  readonly leaderAge: number;
  readonly doesRouterKnow: boolean;
  /** Ticks since the time up to which the router knew all changes. */
  readonly routerAge: number;
  /** Ticks for which the router still sends requests to the server, once it knows. */
  readonly useLeft: number;
}

/** The rule that is removed, if any. */
export interface LeaveOptions {
  readonly mutation: Mutation | undefined;
}

type Steps = Step<LeaveState>[];

const INITIAL: LeaveState = {
  leftFor: -1,
  isLeaderCut: false,
  doesLeaderKnow: false,
  leaderAge: 0,
  doesRouterKnow: false,
  routerAge: 0,
  useLeft: 0,
};

/** Model of a registry that a leader delivers, at any pace, and the notice of a leaving server. */
export function createLeaveModel(options: LeaveOptions): Model<LeaveState> {
  return {
    initial: INITIAL,
    steps: (state) => [
      ...tick(state),
      ...storeSteps(state),
      ...reportSteps(state, options),
      ...pollSteps(state, options),
    ],
    violation: ({ leftFor, doesRouterKnow, useLeft }) =>
      leftFor > NOTICE_TICKS && (!doesRouterKnow || useLeft > 0)
        ? 'a request reaches the server after its notice'
        : undefined,
    goals: {
      'a leader that is cut off delivers reports': ({ isLeaderCut, routerAge }) =>
        isLeaderCut && routerAge > 0,
      'the router learns of it from the leader': ({ doesRouterKnow, doesLeaderKnow }) =>
        doesRouterKnow && doesLeaderKnow,
      'the router learns of it from the store': ({ doesRouterKnow, doesLeaderKnow }) =>
        doesRouterKnow && !doesLeaderKnow,
      'the router uses the server after its word': ({ doesRouterKnow, useLeft }) =>
        doesRouterKnow && useLeft > 0,
    },
  };
}

/** A router whose knowledge is too old asks the store before more time passes. */
const mustPoll = ({ routerAge }: LeaveState) => routerAge >= RELY_TICKS;

function tick(state: LeaveState): Steps {
  if (mustPoll(state)) return [];
  const { leftFor, leaderAge, routerAge, useLeft } = state;
  const next = {
    ...state,
    leftFor: leftFor < 0 ? leftFor : Math.min(leftFor + 1, NOTICE_TICKS + 1),
    leaderAge: Math.min(leaderAge + 1, MAX_AGE_TICKS),
    routerAge: Math.min(routerAge + 1, MAX_AGE_TICKS),
    useLeft: Math.max(0, useLeft - 1),
  };
  return [{ name: 'time passes', next }];
}

function storeSteps(state: LeaveState): Steps {
  const { leftFor, isLeaderCut } = state;
  const steps: Steps = [];
  if (leftFor < 0) steps.push({ name: 'the server leaves', next: { ...state, leftFor: 0 } });
  if (isLeaderCut) return steps;
  steps.push({
    name: 'the store falls silent to the leader',
    next: { ...state, isLeaderCut: true },
  });
  const polled = { ...state, leaderAge: 0, doesLeaderKnow: leftFor >= 0 };
  steps.push({ name: 'the leader polls the store', next: polled });
  return steps;
}

/** The router learns of the word, which the store may have taken as long ago as it knew all. */
function learn(state: LeaveState, { mutation }: LeaveOptions): LeaveState {
  if (state.doesRouterKnow) return state;
  const agoTicks = mutation === 'leave-sight' ? 0 : state.routerAge;
  return { ...state, doesRouterKnow: true, useLeft: Math.max(0, USE_TICKS - agoTicks) };
}

function reportSteps(state: LeaveState, options: LeaveOptions): Steps {
  const learned = state.doesLeaderKnow ? learn(state, options) : state;
  const coveredAge = options.mutation === 'leave-coverage' ? 0 : state.leaderAge;
  const next = { ...learned, routerAge: Math.min(state.routerAge, coveredAge) };
  return [{ name: 'the leader reports to the router', next }];
}

function pollSteps(state: LeaveState, options: LeaveOptions): Steps {
  if (!mustPoll(state)) return [];
  const learned = state.leftFor >= 0 ? learn(state, options) : state;
  return [{ name: 'the router polls the store', next: { ...learned, routerAge: 0 } }];
}
