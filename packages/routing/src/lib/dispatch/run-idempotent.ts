import type { AssignmentMap, Placement } from '@boragepoint/ownership';

import { abortAfter } from '@boragepoint/platform';

import type { RetryBudget } from '../admission/index.js';
import { type AttemptContext, admittedAttempt } from './admitted-attempt.js';
import { waitForChange } from './owner-wait.js';
import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import type { AttemptOutcome } from './server-attempt.js';

/** Longest wait for news of the owner before the same owner is asked again after a refusal. */
const OWNER_CHECK_MS = 20;
const RETRY_AFTER_LOSS_MS = 1_000;

/** What running idempotent requests needs. */
export interface IdempotentContext extends AttemptContext {
  readonly map: AssignmentMap;
  readonly budget: RetryBudget;
}

function isSameOwner(a: Placement, b: Placement | undefined): boolean {
  return a.server.id === b?.server.id && a.assignment.epoch === b.assignment.epoch;
}

/** Aborts an attempt when the key gets another owner, since the old one no longer answers for it. */
function watchOwner(
  map: AssignmentMap,
  req: RoutedRequest,
  placement: Placement,
): { readonly signal: AbortSignal; hasMoved(): boolean } & Disposable {
  let moved = false;
  const attempt = abortAfter(req.deadlineAt - performance.now(), req.signal);
  const watch = map.onChange(() => {
    moved = !isSameOwner(placement, map.place(req.service, req.key));
    if (moved) attempt.abort();
  });
  return {
    signal: attempt.signal,
    hasMoved: () => moved,
    [Symbol.dispose]() {
      watch[Symbol.dispose]();
      attempt[Symbol.dispose]();
    },
  };
}

function finalAnswer(outcome: AttemptOutcome): RoutedAnswer | undefined {
  switch (outcome.kind) {
    case 'answered':
      return { kind: 'answered', answer: outcome.answer, replayed: false };
    case 'too-large':
      return refusal('answerTooLarge', 'the answer is larger than the rule allows');
    default:
      return undefined;
  }
}

/** What the caller is told when the deadline ends the tries. */
function givenUp(outcome: AttemptOutcome | undefined): RoutedAnswer {
  switch (outcome?.kind) {
    case undefined:
      return refusal('noOwner', 'no backend server owns the key', RETRY_AFTER_LOSS_MS);
    case 'refused':
      return refusal(
        'refusedByServer',
        `the owner refused: ${outcome.reason}`,
        RETRY_AFTER_LOSS_MS,
      );
    case 'not-connected':
      return refusal('ownerUnreachable', 'the owner took no connection', RETRY_AFTER_LOSS_MS);
    case 'connection-lost':
    case 'wrong-answer':
      return refusal('answerIncomplete', 'the answer did not arrive whole', RETRY_AFTER_LOSS_MS);
    default:
      return refusal('deadlinePassed', 'no answer came before the deadline', RETRY_AFTER_LOSS_MS);
  }
}

/**
 * Runs an idempotent request at the owner of its key. It is tried again within its deadline:
 * after a refusal by an old owner as soon as the new one is known, after a lost connection only at
 * another owner or epoch, and then under the retry budget.
 */
export async function runIdempotent(
  ctx: IdempotentContext,
  req: RoutedRequest,
  fingerprint: string,
): Promise<RoutedAnswer> {
  ctx.budget.recordRequest();
  let last: AttemptOutcome | undefined;
  let failedAt: Placement | undefined;
  let delayMs = 0;

  while (performance.now() < req.deadlineAt && !req.signal.aborted) {
    const leftMs = req.deadlineAt - performance.now();
    const placement = ctx.map.place(req.service, req.key);
    if (placement === undefined || (failedAt && isSameOwner(failedAt, placement))) {
      await waitForChange(ctx.map, leftMs, req.signal);
      continue;
    }
    using owner = watchOwner(ctx.map, req, placement);
    const attempted = await admittedAttempt(ctx, req, fingerprint, placement, owner.signal);
    if (attempted.isErr()) {
      if (owner.hasMoved()) continue;
      return attempted.error;
    }
    last = attempted.value;
    const answer = finalAnswer(last);
    if (answer !== undefined) return answer;
    if (last.kind === 'refused') {
      await waitForChange(ctx.map, Math.min(leftMs, OWNER_CHECK_MS), req.signal);
      continue;
    }
    if (last.kind === 'given-up') continue;
    failedAt = placement;
    const retry = ctx.budget.tryRetry({
      previousDelayMs: delayMs,
      deadlineAt: req.deadlineAt,
      expectedLatencyMs: 0,
    });
    if (retry === undefined) break;
    delayMs = retry;
    await waitForChange(ctx.map, delayMs, req.signal);
  }
  return givenUp(last);
}
