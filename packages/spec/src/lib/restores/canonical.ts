import type { Grant, Lead, RestoreState, Router, Row, Server, Store } from './restore-state.js';
import { mapped } from './update.js';

/**
 * Returns an equivalent state without what can have no effect any more, so that fewer states are
 * told apart. Parts that don't change stay the same objects. @internal
 */
export function canonical(state: RestoreState): RestoreState {
  const { budget, servers, grants } = state;
  const mayAcquire = budget.acquisitions > 0;
  return {
    ...state,
    store: canonicalStore(state.store),
    routers: mapped(state.routers, (it) => canonicalRouter(it, state.store.era, mayAcquire)),
    grants: grants.some((it) => isRefused(it, servers))
      ? grants.filter((it) => !isRefused(it, servers))
      : grants,
  };
}

function isRefused(grant: Grant, servers: readonly Server[]): boolean {
  return grant.fence < (servers[grant.server]?.fence ?? 0);
}

function canonicalStore(store: Store): Store {
  const rows = mapped(store.rows, (it) => canonicalRow(it, store.era));
  return rows === store.rows ? store : { ...store, rows };
}

/** Of the row of an earlier era only the owner and the token can matter. */
function canonicalRow(row: Row | undefined, era: number): Row | undefined {
  if (!row || row.era === era || (row.leaderLeaseLeft === 0 && row.heldLeft === 0 && row.settled))
    return row;
  return { ...row, leaderLeaseLeft: 0, heldLeft: 0, settled: true };
}

const IDLE: Omit<Router, 'era'> = {
  incarnation: 0,
  isFrozen: false,
  eraAge: 0,
  view: undefined,
  lead: undefined,
};
const idleRouters = new Map<number, Router>();

/** A router that can't lead any more; one object for each era. */
function idleRouter(era: number): Router {
  const found = idleRouters.get(era) ?? { ...IDLE, era };
  idleRouters.set(era, found);
  return found;
}

function canonicalRouter(router: Router, storeEra: number, mayAcquire: boolean): Router {
  const { lead } = router;
  if (!lead) return mayAcquire ? router : idleRouter(storeEra);
  const changed = canonicalLead(lead);
  if (changed === lead && router.eraAge === 0 && !router.view) return router;
  return { ...router, eraAge: 0, view: undefined, lead: changed };
}

/** An answered grant counts only where it lasts longer than those without an answer. */
function canonicalLead(lead: Lead): Lead {
  const kept = lead.answeredLeft.map((it, server) => (it > (lead.lateLeft[server] ?? 0) ? it : 0));
  const isSame = kept.every((it, server) => it === lead.answeredLeft[server]);
  return isSame ? lead : { ...lead, answeredLeft: kept };
}
