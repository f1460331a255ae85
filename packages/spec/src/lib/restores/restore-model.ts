import type { Model, Step } from '../model/explore.js';
import { acquireSteps } from './acquire-steps.js';
import { canonical } from './canonical.js';
import { grantSteps } from './grant-steps.js';
import { leadSteps } from './lead-steps.js';
import {
  LEADER_LEASE_TICKS,
  RENEWAL_GRACE_TICKS,
  type Grant,
  type Lead,
  type RestoreOptions,
  type RestoreState,
  type Router,
  type Row,
  type Server,
  TOKENS_PER_ERA,
} from './restore-state.js';
import { routerSteps } from './router-steps.js';
import { firstReturn, hasDelayedWrite, hasRouterStartedAnew, startState } from './scenarios.js';
import { storeSteps } from './store-steps.js';
import { mapped } from './update.js';

type Steps = Step<RestoreState>[];

/** Time since the last confirmation from which nothing is renewed. */
const STOPS_RENEWING_TICKS = LEADER_LEASE_TICKS + RENEWAL_GRACE_TICKS + 1;

type Goals = Model<RestoreState>['goals'];

function hasGranted({ routers }: RestoreState, source: Lead['source']): boolean {
  return routers.some(
    ({ lead }) => lead?.source === source && lead.era > 0 && lead.phase === 'granted',
  );
}

const GOALS: Goals = {
  'the former leader goes on in the new era': (state) => hasGranted(state, 'row'),
  'the former leader hands over its record': (state) => hasGranted(state, 'record'),
  'a view is used': (state) => hasGranted(state, 'view'),
  'the key moves in the new era': ({ servers }) =>
    servers.every((it) => it.fence > 0) && servers.some((it) => it.fence > TOKENS_PER_ERA),
};

const GOALS_WITH_A_ROUTER_STARTED_ANEW: Goals = {
  'nobody who is asked knows more than the copy': (state) => hasGranted(state, 'copy'),
};

const GOALS_WITH_A_DELAYED_WRITE: Goals = {
  'a delayed write of the earlier era changes only the row of that era': ({ store, write }) =>
    !write && store.rows[0]?.version === 3 && store.rows[1] !== undefined,
};

function goalsOf({ scenarios }: RestoreOptions): Goals {
  return {
    ...GOALS,
    ...(scenarios.some(hasRouterStartedAnew) ? GOALS_WITH_A_ROUTER_STARTED_ANEW : {}),
    ...(scenarios.some(hasDelayedWrite) ? GOALS_WITH_A_DELAYED_WRITE : {}),
  };
}

/** Model of a store that comes back from an older copy of itself. */
export function createRestoreModel(options: RestoreOptions): Model<RestoreState> {
  return {
    initial: startState(options),
    steps: (state) =>
      isSettled(state)
        ? []
        : stepsOf(state, options).map(({ name, next }) => ({ name, next: canonical(next) })),
    violation: ({ servers, hasLowFence }) => {
      if (servers.every((it) => it.leaseLeft > 0)) return 'both servers hold the key';
      return hasLowFence
        ? 'a server takes the key under a token that is not the highest'
        : undefined;
    },
    goals: goalsOf(options),
  };
}

/** No server can be granted the key any more within the bounds of the exploration. */
function isSettled({ grants, budget }: RestoreState): boolean {
  return grants.length === 0 && budget.grants === 0;
}

function stepsOf(state: RestoreState, options: RestoreOptions): Steps {
  if (state.store.era === 0) return firstReturn(state, options);
  return [
    ...tick(state),
    ...storeSteps(state),
    ...grantSteps(state),
    ...state.routers.flatMap((_, number) => [
      ...routerSteps({ state, number, options }),
      ...leadSteps({ state, number, options }),
      ...acquireSteps({ state, number, options }),
    ]),
  ];
}

const decremented = (left: number) => Math.max(0, left - 1);

function tickRow(row: Row | undefined): Row | undefined {
  if (row === undefined || (row.leaderLeaseLeft === 0 && row.heldLeft === 0)) return row;
  return {
    ...row,
    leaderLeaseLeft: decremented(row.leaderLeaseLeft),
    heldLeft: decremented(row.heldLeft),
  };
}

function tickLead(lead: Lead): Lead {
  return {
    ...lead,
    sinceConfirmed: Math.min(lead.sinceConfirmed + 1, STOPS_RENEWING_TICKS),
    answeredLeft: lead.answeredLeft.map(decremented),
    lateLeft: lead.lateLeft.map(decremented),
  };
}

function tickRouter(router: Router): Router {
  const { isFrozen, eraAge, lead } = router;
  if (isFrozen || (!lead && eraAge === LEADER_LEASE_TICKS)) return router;
  return {
    ...router,
    eraAge: Math.min(eraAge + 1, LEADER_LEASE_TICKS),
    lead: lead && tickLead(lead),
  };
}

function tickServer(server: Server): Server {
  if (server.leaseLeft === 0) return server;
  return { ...server, leaseLeft: decremented(server.leaseLeft) };
}

/** A grant whose lease has lapsed has no effect. */
function tickGrants(grants: readonly Grant[]): readonly Grant[] {
  if (grants.length === 0) return grants;
  return grants.filter((it) => it.timeLeft > 1).map((it) => ({ ...it, timeLeft: it.timeLeft - 1 }));
}

function tick(state: RestoreState): Steps {
  const { store } = state;
  const rows = mapped(store.rows, tickRow);
  const next: RestoreState = {
    ...state,
    store: rows === store.rows ? store : { ...store, rows },
    routers: mapped(state.routers, tickRouter),
    servers: mapped(state.servers, tickServer),
    grants: tickGrants(state.grants),
  };
  return [{ name: 'time passes', next }];
}
