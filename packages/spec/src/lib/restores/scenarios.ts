import type { Step } from '../model/explore.js';
import {
  LATE_TICKS,
  LEADER_LEASE_TICKS,
  LEASE_TICKS,
  type Lead,
  RENEWAL_GRACE_TICKS,
  type RestoreOptions,
  type RestoreState,
  type Router,
  type Row,
  type ScenarioName,
  type Server,
  type Write,
} from './restore-state.js';

/** Row of the placement in the copy: router 0 leads and A owns the key. */
const COPIED_ROW: Row = {
  era: 0,
  version: 1,
  leader: 0,
  epoch: 1,
  leaderLeaseLeft: 0,
  owner: 0,
  fence: 1,
  heldLeft: 0,
  settled: true,
};

/** Rows of the copy: there is none of a later era. @internal */
export const COPIED_ROWS: readonly (Row | undefined)[] = [COPIED_ROW, undefined, undefined];

/** Router 0 as the copy names it. */
const LEAD: Lead = {
  era: 0,
  epoch: 1,
  source: 'row',
  version: 1,
  sinceConfirmed: 0,
  needsConfirmation: false,
  owner: 0,
  fence: 1,
  phase: 'granted',
  answeredLeft: [LEASE_TICKS, 0],
  lateLeft: [0, 0],
};

/** Router 0 after it stored a move to B, before the release at A. */
const MOVING: Lead = { ...LEAD, version: 2, owner: 1, fence: 2, phase: 'stored' };

/** Router 0 after a move to B. */
const MOVED: Lead = { ...MOVING, phase: 'granted', answeredLeft: [0, LEASE_TICKS] };

/** Router 1 after it took over from router 0 and stored a move to B. */
const SUCCESSOR: Lead = {
  ...MOVING,
  epoch: 2,
  version: 3,
  fence: 3,
  lateLeft: [RENEWAL_GRACE_TICKS + LATE_TICKS, 0],
};

/** A leader whose lease has expired, which has not noticed that another router leads. */
const REPLACED: Lead = { ...LEAD, sinceConfirmed: LEADER_LEASE_TICKS };

const FOLLOWER: Router = {
  incarnation: 0,
  isFrozen: false,
  era: 0,
  eraAge: LEADER_LEASE_TICKS,
  view: { leader: 0, incarnation: 0, owner: 0, fence: 1 },
  lead: undefined,
};

const leading = (lead: Lead): Router => ({ ...FOLLOWER, view: undefined, lead });
const STARTED_ANEW: Router = { ...FOLLOWER, incarnation: 1, view: undefined };

const A_HOLDS: readonly Server[] = [
  { leaseLeft: LEASE_TICKS, fence: 1 },
  { leaseLeft: 0, fence: 0 },
];
/** B holds the key under a token that the copy does not have; A has seen the one before. */
const B_HOLDS: readonly Server[] = [
  { leaseLeft: 0, fence: 2 },
  { leaseLeft: LEASE_TICKS, fence: 3 },
];

/** What is there when the store comes back; the copy says that router 0 leads and A owns the key. */
type Scenario = Pick<RestoreState, 'routers' | 'servers'> & { readonly write?: Write };

/** Write of a move by router 0 that is delayed over the return, after another one that is lost. */
const DELAYED_MOVE: Write = {
  router: 0,
  incarnation: 0,
  key: 0,
  expectedVersion: 2,
  row: { ...COPIED_ROW, version: 3, owner: 1, fence: 2 },
};

const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  'nothing is lost': { routers: [leading(LEAD), FOLLOWER], servers: A_HOLDS },
  'nothing is lost, the write of a move is under way': {
    routers: [leading({ ...MOVING, phase: 'sent' }), FOLLOWER],
    servers: A_HOLDS,
    write: DELAYED_MOVE,
  },
  'a move is lost': { routers: [leading(MOVING), FOLLOWER], servers: A_HOLDS },
  'a move is lost, router 1 was started anew': {
    routers: [leading({ ...MOVED, fence: 3 }), STARTED_ANEW],
    servers: B_HOLDS,
  },
  'a hand-over to router 1 and a move are lost': {
    routers: [FOLLOWER, leading(SUCCESSOR)],
    servers: A_HOLDS,
  },
  'a hand-over to router 1 and a move are lost, router 0 was started anew': {
    routers: [STARTED_ANEW, leading(SUCCESSOR)],
    servers: A_HOLDS,
  },
  'a change of leader, unnoticed by router 0, and a move are lost': {
    routers: [leading(REPLACED), leading(SUCCESSOR)],
    servers: A_HOLDS,
  },
  'a change of leader, unnoticed by router 0, and a move are lost, router 1 was started anew': {
    routers: [leading(REPLACED), STARTED_ANEW],
    servers: B_HOLDS,
  },
};

/** All scenarios. */
export const SCENARIO_NAMES = Object.keys(SCENARIOS) as ScenarioName[];

/** A write of the earlier era is still under way. @internal */
export function hasDelayedWrite(name: ScenarioName): boolean {
  return SCENARIOS[name].write !== undefined;
}

/** A router knows nothing. @internal */
export function hasRouterStartedAnew(name: ScenarioName): boolean {
  return SCENARIOS[name].routers.includes(STARTED_ANEW);
}

/** State before the store is away; its only steps are the returns of the store. @internal */
export function startState({ budget }: RestoreOptions): RestoreState {
  return {
    store: { era: 0, rows: COPIED_ROWS },
    routers: [leading(LEAD), FOLLOWER],
    servers: A_HOLDS,
    grants: [],
    write: undefined,
    hasLowFence: false,
    budget,
  };
}

/** The store comes back from its copy, with something lost. @internal */
export function firstReturn(state: RestoreState, options: RestoreOptions): Step<RestoreState>[] {
  const store = { ...state.store, era: 1 };
  return options.scenarios.map((name) => ({
    name: `the store comes back with era 1: ${name}`,
    next: { ...state, store, ...SCENARIOS[name] },
  }));
}
