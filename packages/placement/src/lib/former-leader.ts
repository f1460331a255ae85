import { type EndProof, type Life, endByAnswer } from './end-proof.js';
import type { PlacementPeers } from './placement-peers.js';
import type { StepDownAnswer } from './step-down-answer.js';

/** Answer of a former leader. One that refuses the connection is `silent`: it may live. */
export type FormerLeaderAnswer =
  | Extract<StepDownAnswer, { readonly kind: 'stopped' }>
  | { readonly kind: 'gone'; readonly proof: EndProof }
  | { readonly kind: 'silent' };

/** Asks a former leader to step down; see {@link PlacementPeers.requestStepDown}. */
export type RequestStepDown = (
  ...args: Parameters<PlacementPeers['requestStepDown']>
) => Promise<FormerLeaderAnswer>;

/** Options of {@link createStepDownRequests}. */
export interface StepDownRequestsOptions {
  readonly peers: Pick<PlacementPeers, 'requestStepDown'>;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** Asks former leaders to step down. Only an answer shows that one sends no more orders. */
export function createStepDownRequests(options: StepDownRequestsOptions): RequestStepDown {
  return async (...args) => {
    const askedAt = options.now();
    const answer = await options.peers.requestStepDown(...args);
    if (answer.kind === 'stopped') return answer;
    if (answer.kind !== 'gone') return { kind: 'silent' };
    const [address, , startedMs] = args;
    const life: Life = { id: address, address, startedMs };
    return { kind: 'gone', proof: endByAnswer(life, answer.kind, askedAt) };
  };
}
