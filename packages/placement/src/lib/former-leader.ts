import type { PlacementPeers, StepDownAnswer } from './placement-peers.js';
import { createServerReach } from './server-reach.js';

/** Answer of a former leader, once a refused connection to it has been looked into. */
export type FormerLeaderAnswer = Exclude<StepDownAnswer, { readonly kind: 'refused' }>;

/** Asks a former leader to step down; see {@link PlacementPeers.requestStepDown}. */
export type RequestStepDown = (
  ...args: Parameters<PlacementPeers['requestStepDown']>
) => Promise<FormerLeaderAnswer>;

/** Options of {@link createStepDownRequests}. */
export interface StepDownRequestsOptions {
  readonly peers: Pick<PlacementPeers, 'requestStepDown' | 'reachServer'>;
  /** Addresses of other routers. */
  others(): readonly string[];
  /** Monotonic time in milliseconds. */
  now(): number;
}

/**
 * Asks former leaders to step down. One that refuses the connection has ended if it refuses all
 * other routers as well; otherwise only the path to it may be cut, and it counts as silent.
 */
export function createStepDownRequests(options: StepDownRequestsOptions): RequestStepDown {
  const { peers } = options;
  return async (...args) => {
    const answer = await peers.requestStepDown(...args);
    if (answer.kind !== 'refused') return answer;
    const [address] = args;
    const reach = createServerReach({
      others: () => options.others().filter((it) => it !== address),
      ask: (router, req) => peers.reachServer(router, req),
      now: () => options.now(),
    });
    const closedFrom = await reach.closedFrom({ serverId: '', address });
    return { kind: closedFrom === undefined ? 'silent' : 'gone' };
  };
}
