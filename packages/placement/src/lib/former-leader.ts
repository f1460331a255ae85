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
 * Asks former leaders to step down. One that refuses the connection counts as silent if another
 * router reaches it, since only the path to it is cut then, and as ended otherwise. After a restart
 * of all routers none of those that are known may be left to say more.
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
    const isReached = await reach.isReachedByAny({ serverId: '', address });
    return { kind: isReached ? 'silent' : 'gone' };
  };
}
