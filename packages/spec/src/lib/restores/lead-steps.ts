import type { Step } from '../model/explore.js';
import {
  type Grant,
  LATE_TICKS,
  LEADER_LEASE_TICKS,
  type Lead,
  RENEWAL_GRACE_TICKS,
  type RestoreOptions,
  type RestoreState,
  type Row,
  SERVER_NAMES,
  TOKENS_PER_ERA,
} from './restore-state.js';
import { atEra, isConfirmed } from './router-steps.js';
import { currentRow, keyOf, versionAt } from './store-steps.js';
import { type RouterView, other, routerOf, spend, viewOf, withRouter } from './update.js';

type Steps = Step<RestoreState>[];

/** A router that leads, and the state that it is part of. */
interface LeadView extends RouterView {
  readonly lead: Lead;
  /** Era of the row that the leader writes next. */
  readonly era: number;
}

/** Steps of a router that leads. @internal */
export function leadSteps(view: RouterView): Steps {
  const { lead, isFrozen, era } = routerOf(view);
  if (!lead || isFrozen) return [];
  const leading = { ...view, lead, era };
  return [
    ...confirm(leading),
    ...move(leading),
    ...release(leading),
    ...grantToOwner(leading),
    ...renew(leading),
  ];
}

/** Next fencing token, above all of earlier eras. */
export function nextFence(fence: number, era: number, { mutation }: RestoreOptions): number {
  return mutation === 'era-fence' ? fence + 1 : Math.max(fence, era * TOKENS_PER_ERA) + 1;
}

function rowOf({ number, era }: LeadView, lead: Lead, version: number): Row {
  const another = other(lead.owner);
  const late = lead.lateLeft[another] ?? 0;
  return {
    era,
    version,
    leader: number,
    epoch: lead.epoch,
    leaderLeaseLeft: LEADER_LEASE_TICKS,
    owner: lead.owner,
    fence: lead.fence,
    heldLeft: Math.max(lead.answeredLeft[another] ?? 0, late),
    settled: late === 0,
  };
}

function heldLeft(lead: Lead, server: number): number {
  return Math.max(lead.answeredLeft[server] ?? 0, lead.lateLeft[server] ?? 0);
}

function mayMove({ lead, era }: LeadView): boolean {
  return lead.era === era && isConfirmed(lead);
}

function mayRenew({ lead }: LeadView): boolean {
  return !lead.needsConfirmation && lead.sinceConfirmed <= LEADER_LEASE_TICKS + RENEWAL_GRACE_TICKS;
}

/** The row is written and the answer received at once. */
function writeRow(view: LeadView, text: string, changed: Lead, hasChanged: boolean): Steps {
  const { state, number, era, options } = view;
  const { store, write } = state;
  const name = `router ${number} ${text}`;
  const key = keyOf(era, options);
  const isFirst = changed.era !== era;
  const found = store.rows[key];
  const isTaken = isFirst && currentRow(store, options) !== undefined;
  const expected = isFirst ? versionAt(store, key) : changed.version;
  if (isTaken || versionAt(store, key) !== expected) {
    if (!isTaken && found?.leader === number && found.epoch === changed.epoch) {
      const lead = { ...changed, version: found.version };
      return [
        { name: `${name}, but the row has changed`, next: withRouter(state, number, { lead }) },
      ];
    }
    return [{ name: `${name}, but another router leads`, next: stopLeading(view, changed) }];
  }
  // A write that changes nothing counts as one only where a delayed one of its era would match. One
  // of an earlier era may expect any number, so it can match after any count of such writes.
  const isRepeated = write?.row.era === era && write.expectedVersion === expected;
  const isNew = hasChanged || isFirst || isRepeated;
  const version = isNew ? expected + 1 : expected;
  const lead: Lead = {
    ...changed,
    era,
    version,
    sinceConfirmed: 0,
    needsConfirmation: false,
    phase: changed.phase === 'sent' ? 'stored' : changed.phase,
  };
  const rows = store.rows.with(key, rowOf(view, lead, version));
  const written = { ...state, store: { ...store, rows } };
  if (store.era === era || options.mutation === 'era-answer') {
    return [{ name, next: withRouter(written, number, { lead }) }];
  }
  // The answer shows a later era: it confirms nothing.
  const router = atEra({ ...routerOf(view), lead: changed }, number, store.era, options.mutation);
  return [
    { name: `${name}, but learns of era ${store.era}`, next: withRouter(written, number, router) },
  ];
}

function stopLeading({ state, number }: LeadView, lead: Lead): RestoreState {
  const { incarnation } = routerOf({ state, number } as RouterView);
  return withRouter(state, number, { lead: undefined, view: viewOf(number, incarnation, lead) });
}

function confirm(view: LeadView): Steps {
  const { lead, era, options } = view;
  const isFirst = lead.era !== era;
  const epoch = isFirst ? nextFence(lead.fence, era, options) : lead.epoch;
  const text = isFirst ? `confirms itself in era ${era}` : 'confirms its leadership lease';
  return writeRow(view, text, { ...lead, epoch }, lead.phase === 'sent');
}

function move(view: LeadView): Steps {
  const { state, lead, era, options } = view;
  if (lead.phase !== 'granted' || state.budget.moves === 0 || !mayMove(view)) return [];
  const owner = other(lead.owner);
  const moved: Lead = { ...lead, owner, fence: nextFence(lead.fence, era, options), phase: 'sent' };
  const spent = { ...view, state: { ...state, budget: spend(state.budget, 'moves') } };
  const text = `stores that ${SERVER_NAMES[owner]} owns the key`;
  return writeRow(spent, text, moved, true);
}

function release(view: LeadView): Steps {
  const { state, number, lead } = view;
  const another = other(lead.owner);
  if (lead.phase !== 'stored' || !mayMove(view) || heldLeft(lead, another) === 0) return [];
  const released = { ...lead, answeredLeft: lead.answeredLeft.with(another, 0) };
  const server = state.servers[another];
  if (!server) return [];
  const servers = state.servers.with(another, { ...server, leaseLeft: 0 });
  const next = withRouter({ ...state, servers }, number, { lead: released });
  return [{ name: `router ${number} releases the key at ${SERVER_NAMES[another]}`, next }];
}

function sendGrant(view: LeadView, text: string): Steps {
  const { state, number, lead } = view;
  if (state.budget.grants === 0) return [];
  const grant: Grant = {
    router: number,
    epoch: lead.epoch,
    server: lead.owner,
    fence: lead.fence,
    timeLeft: LATE_TICKS,
  };
  const late = Math.max(lead.lateLeft[lead.owner] ?? 0, LATE_TICKS);
  const changed: Lead = {
    ...lead,
    phase: 'granted',
    lateLeft: lead.lateLeft.with(lead.owner, late),
  };
  const next = {
    ...withRouter(state, number, { lead: changed }),
    grants: [...state.grants, grant],
    budget: spend(state.budget, 'grants'),
  };
  return [
    { name: `router ${number} ${text} ${SERVER_NAMES[lead.owner]} under ${lead.fence}`, next },
  ];
}

function grantToOwner(view: LeadView): Steps {
  const { lead } = view;
  const another = other(lead.owner);
  if (lead.phase !== 'stored' || !mayMove(view) || heldLeft(lead, another) > 0) return [];
  return sendGrant(view, 'grants the key to');
}

function renew(view: LeadView): Steps {
  return view.lead.phase === 'granted' && mayRenew(view)
    ? sendGrant(view, 'renews the lease of')
    : [];
}
