import { RESULT_CODES, type ResultName, nameOf } from '@boragepoint/config';
import type { KeeperManager, Placement } from '@boragepoint/ownership';

import {
  type DispatchOutcome,
  type Ledger,
  type NonIdempotentResult,
  runNonIdempotent,
} from '../ledger/index.js';
import { type AttemptContext, admittedAttempt } from './admitted-attempt.js';
import { waitForChange } from './wait-for-change.js';
import { abortAfter } from '@boragepoint/platform';

import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import type { AttemptOutcome } from './server-attempt.js';

/** Longest wait for a change of the owner before the next attempt. */
const OWNER_CHECK_INTERVAL_MS = 20;

/** Time after the deadline for which an answer is still awaited, so that a repeat gets it. */
const RUN_PAST_DEADLINE_MS = 60_000;

/** Dependencies of the requests that a keeper runs. */
export interface KeeperRunContext extends AttemptContext {
  readonly keepers: KeeperManager;
  readonly ledger: Ledger;
}

/** Returns the placement of the request's key if this router acts as the keeper of its owner. */
function localPlacement(ctx: KeeperRunContext, req: RoutedRequest): Placement | undefined {
  const placement = ctx.map.place(req.service, req.key);
  if (placement === undefined) return undefined;
  return ctx.keepers.session(placement.server.id)?.isRenewing() === true ? placement : undefined;
}

function notRun(reason: string, result: ResultName, mayRetry: boolean) {
  return { kind: 'not-run', reason, code: RESULT_CODES[result], mayRetry } as const;
}

function toDispatchOutcome(outcome: AttemptOutcome): DispatchOutcome {
  switch (outcome.kind) {
    case 'answered':
      return { kind: 'answered', ...outcome.answer };
    case 'refused':
      return notRun(`the owner refused: ${outcome.reason}`, 'refusedByServer', true);
    case 'not-connected':
      return notRun('the owner took no connection', 'ownerUnreachable', true);
    case 'too-large':
      return {
        kind: 'unknown',
        reason: 'the answer is larger than the rule allows',
        code: RESULT_CODES.answerTooLarge,
      };
    case 'aborted':
      return {
        kind: 'unknown',
        reason: 'no answer came in time',
        code: RESULT_CODES.deadlinePassed,
      };
    case 'connection-lost':
    case 'wrong-answer':
      return { kind: 'unknown', reason: 'the answer did not arrive whole' };
  }
}

function toRoutedAnswer(result: NonIdempotentResult): RoutedAnswer {
  if (result.kind === 'answered') {
    return { kind: 'answered', answer: result.answer, replayed: result.replayed };
  }
  return refusal(nameOf(result.code), result.message, result.retryAfterMs);
}

/**
 * Returns the time limit of an attempt, and the signal that can cancel it earlier. A non-idempotent
 * attempt continues past the caller's deadline and after the caller has disconnected, so that a
 * repeat gets its answer.
 */
function attemptTimeLimit(ctx: KeeperRunContext, { rule, signal, deadlineAt }: RoutedRequest) {
  const leftMs = deadlineAt - performance.now();
  if (rule.idempotent) return { limit: abortAfter(leftMs, signal), parent: signal };
  const { closing } = ctx.links;
  return { limit: abortAfter(leftMs + RUN_PAST_DEADLINE_MS, closing), parent: closing };
}

/** Sends a request to the owner of its key once. */
async function dispatchOnce(
  ctx: KeeperRunContext,
  req: RoutedRequest,
  fingerprint: string,
  attempt: number,
): Promise<DispatchOutcome> {
  if (attempt > 1) await waitForChange(ctx.map, OWNER_CHECK_INTERVAL_MS, req.signal);
  const placement = localPlacement(ctx, req);
  if (placement === undefined) {
    return notRun('this router is not the keeper of the owner', 'unfinishedElsewhere', false);
  }
  const { limit, parent } = attemptTimeLimit(ctx, req);
  using bounded = limit;
  const attempted = await admittedAttempt(ctx, {
    req,
    fingerprint,
    placement,
    signal: bounded.signal,
    isRepeated: attempt > 1,
    wasCancelled: () => parent.aborted,
  });
  if (attempted.isOk()) return toDispatchOutcome(attempted.value);
  const { result, message, retryAfterMs } = attempted.error;
  const outcome = notRun(message, result, false);
  return retryAfterMs === undefined ? outcome : { ...outcome, retryAfterMs };
}

/**
 * Runs a request at the keeper of its key's owner; a non-idempotent one at most once, through the
 * ledger. A refusal with result `unfinishedElsewhere` means that another router is the keeper and
 * that nothing was run.
 */
export async function runAtKeeper(
  ctx: KeeperRunContext,
  req: RoutedRequest,
  fingerprint: string,
): Promise<RoutedAnswer> {
  if (localPlacement(ctx, req) === undefined) {
    return refusal('unfinishedElsewhere', 'this router is not the keeper of the owner');
  }
  const result = await runNonIdempotent({
    ledger: ctx.ledger,
    dispatch: (attempt) => dispatchOnce(ctx, req, fingerprint, attempt),
    req: {
      service: req.service.name,
      idempotencyKey: req.rule.idempotent ? undefined : req.idempotencyKey,
      fingerprint,
      deadlineAt: req.deadlineAt,
      signal: req.signal,
      isFirstAttempt: !req.isRepeat,
    },
  });
  return toRoutedAnswer(result);
}
