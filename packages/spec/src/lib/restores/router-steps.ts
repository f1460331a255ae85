import type { Step } from '../model/explore.js';
import { LEADER_LEASE_TICKS, type Lead, type RestoreState, type Router } from './restore-state.js';
import { type RouterView, newest, routerOf, spend, viewOf, withRouter } from './update.js';

type Steps = Step<RestoreState>[];

/** A router learns of an era or a view, is frozen, thaws or is started anew. @internal */
export function routerSteps(view: RouterView): Steps {
  if (routerOf(view).isFrozen) return thaw(view);
  return [...freeze(view), ...restart(view), ...learnEra(view), ...learnView(view)];
}

/** Returns whether no other router can hold the leadership lease, as far as the leader knows. */
export function isConfirmed({ needsConfirmation, sinceConfirmed }: Lead): boolean {
  return !needsConfirmation && sinceConfirmed < LEADER_LEASE_TICKS;
}

/**
 * Returns a router that has learned of an era. A leader whose lease is not confirmed then can't
 * know whether a leadership after its own was lost with the copy, so it stops leading.
 */
export function atEra(
  router: Router,
  number: number,
  era: number,
  mutation: string | undefined,
): Router {
  if (era <= router.era) return router;
  const { lead } = router;
  const stays = lead && mayStay(router, lead, mutation);
  return {
    ...router,
    era,
    eraAge: 0,
    lead: stays ? confirmedByEra(lead, era, mutation) : undefined,
    view:
      lead && !stays
        ? newest([viewOf(number, router.incarnation, lead), router.view])
        : router.view,
  };
}

function mayStay(router: Router, lead: Lead, mutation: string | undefined): boolean {
  // It stayed at an earlier return, so its lease was confirmed then.
  if (mutation === 'era-again' && router.era > lead.era) return true;
  return isConfirmed(lead) || mutation === 'era-stale-leader';
}

function confirmedByEra(lead: Lead, era: number, mutation: string | undefined): Lead {
  return mutation === 'era-confirm' ? { ...lead, era, sinceConfirmed: 0 } : lead;
}

function learnEra(view: RouterView): Steps {
  const { state, number, options } = view;
  const router = routerOf(view);
  const { era } = state.store;
  if (router.era === era) return [];
  const next = withRouter(state, number, atEra(router, number, era, options.mutation));
  return [{ name: `router ${number} learns of era ${era}`, next }];
}

/** A router learns the placement from another one that leads. */
function learnView(view: RouterView): Steps {
  const { state, number } = view;
  const router = routerOf(view);
  if (router.lead) return [];
  return state.routers.flatMap((it, leader) => {
    if (it.lead?.phase === 'sent') return [];
    if (!it.lead || it.isFrozen || it.lead.fence <= (router.view?.fence ?? 0)) return [];
    const learned = viewOf(leader, it.incarnation, it.lead);
    return [
      {
        name: `router ${number} learns the placement of router ${leader}`,
        next: withRouter(state, number, { view: learned }),
      },
    ];
  });
}

function freeze(view: RouterView): Steps {
  const { state, number } = view;
  if (state.budget.freezes === 0 || !routerOf(view).lead) return [];
  const next = {
    ...withRouter(state, number, { isFrozen: true }),
    budget: spend(state.budget, 'freezes'),
  };
  return [{ name: `router ${number} is frozen`, next }];
}

function thaw(view: RouterView): Steps {
  const { state, number, options } = view;
  const { lead } = routerOf(view);
  const thawed = lead && { ...lead, needsConfirmation: options.mutation !== 'era-thaw' };
  return [
    {
      name: `router ${number} thaws`,
      next: withRouter(state, number, { isFrozen: false, lead: thawed }),
    },
  ];
}

function restart(view: RouterView): Steps {
  const { state, number } = view;
  const { incarnation } = routerOf(view);
  if (state.budget.restarts === 0) return [];
  const fresh = {
    incarnation: incarnation + 1,
    era: 0,
    eraAge: LEADER_LEASE_TICKS,
    view: undefined,
    lead: undefined,
  };
  const next = { ...withRouter(state, number, fresh), budget: spend(state.budget, 'restarts') };
  return [{ name: `router ${number} is started anew`, next }];
}
