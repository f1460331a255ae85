import type { Step } from '../model/explore.js';
import {
  type Grant,
  LATE_TICKS,
  LEASE_TICKS,
  type Lead,
  type RestoreState,
  SERVER_NAMES,
} from './restore-state.js';
import { other, withRouter } from './update.js';

type Steps = Step<RestoreState>[];

/** A grant is carried out at once or later, and its answer is received or lost. @internal */
export function grantSteps(state: RestoreState): Steps {
  return state.grants.flatMap((grant, index) => stepsOf(state, grant, index));
}

function stepsOf(state: RestoreState, grant: Grant, index: number): Steps {
  const name = `the grant to ${SERVER_NAMES[grant.server]} under ${grant.fence} of router ${grant.router}`;
  const grants = state.grants.toSpliced(index, 1);
  const server = state.servers[grant.server];
  const another = state.servers[other(grant.server)];
  if (!server || !another) return [];
  if (grant.fence < server.fence) {
    return [{ name: `${name} is refused`, next: { ...state, grants } }];
  }
  const servers = state.servers.with(grant.server, {
    leaseLeft: Math.max(server.leaseLeft, Math.min(grant.timeLeft, LEASE_TICKS)),
    fence: grant.fence,
  });
  const isTaken = server.leaseLeft === 0 && grant.timeLeft > 0;
  const hasLowFence = state.hasLowFence || (isTaken && grant.fence <= another.fence);
  const next = { ...state, servers, grants, hasLowFence };
  return [
    { name: `${name} is carried out without an answer`, next },
    ...answerSteps(next, grant, name),
  ];
}

function answerSteps(state: RestoreState, grant: Grant, name: string): Steps {
  const router = state.routers[grant.router];
  const lead = router?.lead;
  if (!lead || router.isFrozen || lead.epoch !== grant.epoch) return [];
  const isLast = !state.grants.some(
    (it) => it.router === grant.router && it.server === grant.server,
  );
  const late = lead.lateLeft[grant.server] ?? 0;
  const next: Lead = {
    ...lead,
    answeredLeft: lead.answeredLeft.with(grant.server, LEASE_TICKS),
    // The server refuses what earlier leaders granted it from now on.
    lateLeft: lead.lateLeft.with(grant.server, isLast ? 0 : Math.min(late, LATE_TICKS)),
  };
  return [
    {
      name: `${name} is carried out and answered`,
      next: withRouter(state, grant.router, { lead: next }),
    },
  ];
}
