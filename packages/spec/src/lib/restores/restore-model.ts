import type { Model, Step } from '../model/explore.js';
import { acquireSteps } from './acquire-steps.js';
import { canonical } from './canonical.js';
import { grantSteps } from './grant-steps.js';
import { leadSteps } from './lead-steps.js';
import {
  LEADER_LEASE_TICKS,
  RENEWAL_GRACE_TICKS,
  type Grant,
  type RestoreOptions,
  type RestoreState,
  type Router,
  type Row,
  TOKENS_PER_ERA,
} from './restore-state.js';
import { routerSteps } from './router-steps.js';
import { firstReturn, startState } from './scenarios.js';
import { storeSteps } from './store-steps.js';

type Steps = Step<RestoreState>[];

/** Time since the last confirmation from which nothing is renewed. */
const STOPS_RENEWING_TICKS = LEADER_LEASE_TICKS + RENEWAL_GRACE_TICKS + 1;

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
    goals: {
      'the former leader goes on in the new era': ({ routers }) =>
        routers[0]?.lead !== undefined && routers[0].lead.era > 0,
      'another router leads in the new era': ({ routers }) =>
        routers[1]?.lead !== undefined && routers[1].lead.era > 0,
      'the key moves in the new era': ({ servers }) =>
        servers.every((it) => it.fence > 0) && servers.some((it) => it.fence > TOKENS_PER_ERA),
      'a delayed write of the earlier era changes only the row of that era': ({ store, write }) =>
        !write && store.rows[0]?.fence === 2 && store.rows[1]?.owner === 0,
    },
  };
}

/** No server can be granted the key any more within the bounds of the exploration. */
function isSettled({ grants, budget }: RestoreState): boolean {
  return grants.length === 0 && budget.grants === 0;
}

function stepsOf(state: RestoreState, options: RestoreOptions): Steps {
  if (state.store.era === 0) return firstReturn(state);
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
  if (row === undefined) return undefined;
  return {
    ...row,
    leaderLeaseLeft: decremented(row.leaderLeaseLeft),
    heldLeft: decremented(row.heldLeft),
  };
}

function tickRouter(router: Router): Router {
  if (router.isFrozen) return router;
  const { lead } = router;
  return {
    ...router,
    eraAge: Math.min(router.eraAge + 1, LEADER_LEASE_TICKS),
    lead: lead && {
      ...lead,
      sinceConfirmed: Math.min(lead.sinceConfirmed + 1, STOPS_RENEWING_TICKS),
      answeredLeft: lead.answeredLeft.map(decremented),
      lateLeft: lead.lateLeft.map(decremented),
    },
  };
}

/** A grant whose lease has lapsed has no effect. */
function tickGrants(grants: readonly Grant[]): Grant[] {
  return grants.filter((it) => it.timeLeft > 1).map((it) => ({ ...it, timeLeft: it.timeLeft - 1 }));
}

function tick(state: RestoreState): Steps {
  const { store, write } = state;
  const next: RestoreState = {
    ...state,
    store: { ...store, rows: store.rows.map(tickRow), copy: store.copy.map(tickRow) },
    routers: state.routers.map(tickRouter),
    servers: state.servers.map((it) => ({ ...it, leaseLeft: decremented(it.leaseLeft) })),
    grants: tickGrants(state.grants),
    write: write && { ...write, row: tickRow(write.row) ?? write.row },
  };
  return [{ name: 'time passes', next }];
}
