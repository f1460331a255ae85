import type { Step } from '../model/explore.js';
import { nextFence } from './lead-steps.js';
import {
  LATE_TICKS,
  LEADER_LEASE_TICKS,
  LEASE_TICKS,
  type Lead,
  RENEWAL_GRACE_TICKS,
  type RestoreState,
  type Row,
  type View,
} from './restore-state.js';
import { atEra } from './router-steps.js';
import { currentRow, keyOf, versionAt } from './store-steps.js';
import { type RouterView, newest, other, routerOf, spend, viewOf, withRouter } from './update.js';

type Steps = Step<RestoreState>[];

/** Longest time for which a server may hold the key due to a leader that may still be alive. */
const INHERITED_TICKS = RENEWAL_GRACE_TICKS + LATE_TICKS;

/** What a new leader takes over: owner, highest token and bounds by server. */
type Inherited = Pick<Lead, 'source' | 'owner' | 'fence' | 'answeredLeft' | 'lateLeft'>;

/** A router acquires the leadership lease. @internal */
export function acquireSteps(view: RouterView): Steps {
  const { state, options } = view;
  const { lead, isFrozen, era } = routerOf(view);
  if (lead || isFrozen || era !== state.store.era || state.budget.acquisitions === 0) return [];
  const row = currentRow(state.store, options);
  return row ? acquireFromRow(view, row) : acquireFirst(view);
}

function acquire(view: RouterView, text: string, inherited: Inherited): Steps {
  const { state, number, options } = view;
  const { store } = state;
  const key = keyOf(store.era, options);
  const fence = nextFence(inherited.fence, store.era, options);
  const version = versionAt(store, key) + 1;
  const lead: Lead = {
    era: store.era,
    epoch: fence,
    source: inherited.source,
    version,
    sinceConfirmed: 0,
    needsConfirmation: false,
    owner: inherited.owner,
    fence,
    phase: 'stored',
    answeredLeft: inherited.answeredLeft,
    lateLeft: inherited.lateLeft,
  };
  const another = other(lead.owner);
  const late = lead.lateLeft[another] ?? 0;
  const row: Row = {
    era: store.era,
    version,
    leader: number,
    epoch: fence,
    leaderLeaseLeft: LEADER_LEASE_TICKS,
    owner: lead.owner,
    fence,
    heldLeft: Math.max(lead.answeredLeft[another] ?? 0, late),
    settled: late === 0,
  };
  const next = {
    ...withRouter(state, number, { lead, view: undefined }),
    store: { ...store, rows: store.rows.with(key, row) },
    budget: spend(state.budget, 'acquisitions'),
  };
  return [{ name: `router ${number} acquires the leadership lease ${text}`, next }];
}

function byServer(owner: number, ofOwner: number, ofOther: number): number[] {
  return owner === 0 ? [ofOwner, ofOther] : [ofOther, ofOwner];
}

function acquireFromRow(view: RouterView, row: Row): Steps {
  if (row.leaderLeaseLeft > 0) return [];
  return acquire(view, 'of its era', {
    source: 'row',
    owner: row.owner,
    fence: row.fence,
    answeredLeft: byServer(row.owner, LEASE_TICKS, row.heldLeft),
    lateLeft: byServer(row.owner, INHERITED_TICKS, row.settled ? 0 : row.heldLeft),
  });
}

/** Acquires the lease of a new era, for which there is no row yet. */
function acquireFirst(view: RouterView): Steps {
  const { state, number, options } = view;
  const router = routerOf(view);
  const hasWaited = router.eraAge >= LEADER_LEASE_TICKS;
  const fromRecord = state.routers.flatMap((_, former) => acquireFromRecord(view, former));
  if (!hasWaited && options.mutation !== 'era-first') return fromRecord;
  const known = router.view;
  const others = state.routers.filter((it, index) => index !== number && !it.isFrozen && !it.lead);
  const reported = newest([known, ...others.map((it) => it.view)]);
  return [
    ...fromRecord,
    ...(known ? acquireFromView(view, known, 'with its own view') : acquireUnknown(view)),
    ...(reported && reported !== known
      ? acquireFromView(view, reported, 'with a reported view')
      : []),
  ];
}

/** The former leader steps down and hands over what it knows. */
function acquireFromRecord(view: RouterView, former: number): Steps {
  const { state, number, options } = view;
  const router = state.routers[former];
  if (!router?.lead || router.isFrozen || former === number) return [];
  const asked = atEra(router, former, state.store.era, options.mutation);
  const lead = options.mutation === 'era-record' ? router.lead : asked.lead;
  if (!lead) return [];
  const stopped = viewOf(former, router.incarnation, lead);
  const next = withRouter(state, former, { ...asked, lead: undefined, view: stopped });
  return acquire({ ...view, state: next }, `with the record of router ${former}`, {
    ...lead,
    source: 'record',
  });
}

function acquireFromView(view: RouterView, known: View, text: string): Steps {
  const { mutation } = view.options;
  const late = mutation === 'era-late' || mutation === 'era-clear' ? 0 : INHERITED_TICKS;
  return acquire(view, text, {
    source: 'view',
    owner: known.owner,
    fence: known.fence,
    answeredLeft: byServer(known.owner, LEASE_TICKS, mutation === 'era-clear' ? 0 : LEASE_TICKS),
    lateLeft: byServer(known.owner, INHERITED_TICKS, late),
  });
}

/** Nobody who is asked knows: the oldest knowledge is the copy. */
function acquireUnknown(view: RouterView): Steps {
  const { state, options } = view;
  const row = state.store.rows.findLast((it) => it !== undefined);
  if (!row) return [];
  const wait = options.mutation === 'era-grace' ? LATE_TICKS : INHERITED_TICKS;
  const late = options.mutation === 'era-wait' ? 0 : wait;
  return acquire(view, 'without any knowledge beyond the copy', {
    source: 'copy',
    owner: row.owner,
    fence: row.fence,
    answeredLeft: byServer(row.owner, LEASE_TICKS, late),
    lateLeft: byServer(row.owner, INHERITED_TICKS, late),
  });
}
