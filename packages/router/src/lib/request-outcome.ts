import type { ReportedLoad } from '@boragepoint/platform';

import { clampRetryAfterMs } from './admission.js';
import type { CallerRequest } from './caller-request.js';
import type { Refusal } from './refusals.js';
import { type CallerAnswer, ownAnswer } from './caller-answer.js';
import type { SendOutcome } from './send-request.js';
import type { PooledServer } from './server-pool.js';

export const HTTP_SERVER_ERROR = 500;
/** Number of servers that equal requests may end before no router sends them any more. */
export const MAX_CRASHES = 3;

/** One attempt of a request at a server. */
export interface Attempt {
  readonly server: PooledServer;
  readonly outcome: SendOutcome;
}

/**
 * Counts the earlier attempts that reached a server, so that a late or repeated answer to them may
 * still arrive. It bears the same id as the answer to a later attempt.
 */
export function countSends(attempts: readonly Attempt[], server: PooledServer): number {
  const earlier = attempts.filter((it) => it.server === server);
  return earlier.filter(({ outcome }) => outcome.kind !== 'not-run' || outcome.answer).length;
}

/**
 * Whether a server that shed a request had capacity for it: servers shed some requests at any load.
 */
export function hasCapacity(load: ReportedLoad | undefined): boolean {
  return load !== undefined && load.waiting < load.slots;
}

/** Inputs to the decision whether a request is retried. */
export interface RetryInput {
  readonly outcome: SendOutcome;
  readonly attemptCount: number;
  /** The key has one owner, so another attempt goes to the same server. */
  readonly hasOneOwner: boolean;
  /** Number of servers that equal requests recently ended, or may have ended. */
  readonly crashes: number;
}

/** Returns whether a request may be sent again after an outcome. */
export function mayRetry(req: CallerRequest, input: RetryInput): boolean {
  const { outcome, attemptCount, hasOneOwner, crashes } = input;
  const { cfg } = req.route;
  if (attemptCount >= cfg.maxAttempts || req.disconnectSignal.aborted) return false;
  if (outcome.kind === 'answer') {
    return cfg.idempotent && outcome.answer.status >= HTTP_SERVER_ERROR;
  }
  if (outcome.kind === 'not-run') {
    // The only owner of the key is full: the caller retries when its queue is shorter.
    const isOwnerFull = outcome.why === 'shed' && !hasCapacity(outcome.answer?.meta.load);
    if (isOwnerFull && hasOneOwner) return false;
    return outcome.why !== 'invalid' && outcome.why !== 'cancelled';
  }
  if (crashes >= MAX_CRASHES) return false;
  return cfg.idempotent && outcome.why !== 'cancelled';
}

/** Time after which the queue of the last attempted server has halved, in milliseconds. */
function halvedQueueMs(attempts: readonly Attempt[], now: number): number {
  const load = attempts.at(-1)?.server.load;
  return load ? (load.totalInFlight(now) * load.serviceMs()) / load.slots() / 2 : 0;
}

/**
 * Returns the caller's answer after the last attempt: a server's answer if there is one, and "not
 * run" only if every attempt provably did not run.
 */
export function finalAnswer(
  req: CallerRequest,
  attempts: readonly Attempt[],
  refusal: Refusal | undefined,
  now: number,
): CallerAnswer {
  const answered = attempts.findLast((it) => it.outcome.kind === 'answer');
  if (answered?.outcome.kind === 'answer') {
    return { kind: 'server', answer: answered.outcome.answer, server: answered.server.entry.id };
  }
  if (req.disconnectSignal.aborted) return { kind: 'none' };
  const unknown = attempts.findLast((it) => it.outcome.kind === 'unknown');
  if (unknown?.outcome.kind === 'unknown') {
    const { why, detail } = unknown.outcome;
    if (why === 'oversized') return ownAnswer('answerTooLarge', detail);
    if (why === 'cancelled') return ownAnswer('deadlinePassed', 'no answer in time');
    return ownAnswer('outcomeUnknown', `the server's answer is ${why}: ${detail}`);
  }
  const invalid = attempts.find(
    (it) => it.outcome.kind === 'not-run' && it.outcome.why === 'invalid',
  );
  if (invalid) return ownAnswer('badRequest', 'the backend server takes no such request');
  if (refusal) {
    return ownAnswer(refusal.result ?? 'overloaded', refusal.reason, refusal.retryAfterMs);
  }
  return ownAnswer(
    'refusedByServer',
    'not run by any server',
    clampRetryAfterMs(halvedQueueMs(attempts, now)),
  );
}
