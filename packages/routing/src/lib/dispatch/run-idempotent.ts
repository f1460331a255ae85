import type { AssignmentMap, Placement } from '@boragepoint/ownership';

import { abortAfter } from '@boragepoint/platform';

import type { RetryBudget } from '../admission/index.js';
import { type AttemptContext, admittedAttempt } from './admitted-attempt.js';
import { waitForChange } from './wait-for-change.js';
import { type RoutedAnswer, type RoutedRequest, refusal } from './routed-request.js';
import type { AttemptOutcome } from './server-attempt.js';

/** Longest wait for a change of the owner before a retry at the owner that refused. */
const OWNER_CHECK_INTERVAL_MS = 20;
const RETRY_AFTER_MS = 1_000;
/** Share of failed requests from which on a request is not retried at the same server. */
const MAX_FAILURE_SHARE = 0.5;

/** Dependencies of {@link runIdempotent}. */
export interface IdempotentContext extends AttemptContext {
  readonly budget: RetryBudget;
}

function isSameOwner(a: Placement, b: Placement | undefined): boolean {
  return a.server.id === b?.server.id && a.assignment.epoch === b.assignment.epoch;
}

/** Aborts an attempt when the owner of the key changes, since the old one no longer serves it. */
function watchOwner(
  map: AssignmentMap,
  req: RoutedRequest,
  placement: Placement,
): { readonly signal: AbortSignal; hasChanged(): boolean } & Disposable {
  let changed = false;
  const attempt = abortAfter(req.deadlineAt - performance.now(), req.signal);
  const subscription = map.onChange(() => {
    changed = !isSameOwner(placement, map.place(req.service, req.key));
    if (changed) attempt.abort();
  });
  return {
    signal: attempt.signal,
    hasChanged: () => changed,
    [Symbol.dispose]() {
      subscription[Symbol.dispose]();
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

/** Refusal for the caller when no further attempt is made. */
function refusalAfterAttempts(outcome: AttemptOutcome | undefined): RoutedAnswer {
  switch (outcome?.kind) {
    case undefined:
      return refusal('noOwner', 'no backend server owns the key', RETRY_AFTER_MS);
    case 'refused':
      return refusal('refusedByServer', `the owner refused: ${outcome.reason}`, RETRY_AFTER_MS);
    case 'not-connected':
      return refusal('ownerUnreachable', 'the owner took no connection', RETRY_AFTER_MS);
    case 'connection-lost':
    case 'wrong-answer':
      return refusal('answerIncomplete', 'the answer did not arrive whole', RETRY_AFTER_MS);
    default:
      return refusal('deadlinePassed', 'no answer came before the deadline', RETRY_AFTER_MS);
  }
}

/** True while a retry at a server is unlikely to succeed after a lost connection. */
function isFailing(ctx: IdempotentContext, placement: Placement): boolean {
  const { circuit, failureShare } = ctx.links.linkTo(placement.server).limiter.state();
  return circuit !== 'closed' || failureShare >= MAX_FAILURE_SHARE;
}

/** True when the backend server may have begun to run the request. */
function mayHaveRun(outcome: AttemptOutcome): boolean {
  return outcome.kind !== 'refused' && outcome.kind !== 'not-connected';
}

/** State of a request between its attempts. */
interface Progress {
  lastOutcome?: AttemptOutcome;
  /** Outcome of the last attempt that may have run; if set, no refusal may claim "not run". */
  lastUncertain?: AttemptOutcome;
  failedPlacement?: Placement;
  /** Delay before the last retry, in milliseconds. */
  delayMs: number;
}

/** Replaces a refusal that claims "not run" if an earlier attempt may have run. */
function accountForEarlierAttempts(
  answer: RoutedAnswer,
  { lastUncertain }: Progress,
): RoutedAnswer {
  return answer.kind === 'answered' || lastUncertain === undefined
    ? answer
    : refusalAfterAttempts(lastUncertain);
}

/**
 * Waits before the next attempt. Resolves to false if the retry budget is spent or the attempt
 * could not start before the deadline.
 */
async function prepareRetry(
  ctx: IdempotentContext,
  req: RoutedRequest,
  progress: Progress,
): Promise<boolean> {
  const leftMs = req.deadlineAt - performance.now();
  const isFailure =
    progress.lastOutcome?.kind === 'connection-lost' ||
    progress.lastOutcome?.kind === 'not-connected' ||
    progress.lastOutcome?.kind === 'wrong-answer';
  if (!isFailure) {
    const isRefused = progress.lastOutcome?.kind === 'refused';
    if (isRefused)
      await waitForChange(ctx.map, Math.min(leftMs, OWNER_CHECK_INTERVAL_MS), req.signal);
    return true;
  }
  const delayMs = ctx.budget.tryRetry({
    previousDelayMs: progress.delayMs,
    deadlineAt: req.deadlineAt,
    expectedLatencyMs: 0,
  });
  if (delayMs === undefined) return false;
  progress.delayMs = delayMs;
  await waitForChange(ctx.map, delayMs, req.signal);
  return true;
}

/**
 * Runs an idempotent request at the owner of its key and retries it within its deadline: after a
 * refusal by an old owner, as soon as the new owner is known; after a lost connection, within the
 * retry budget, and at the same owner only while it answers most other requests.
 *
 * @param runSuspect Runs the request at the owner's keeper. A request whose connection was lost is
 * suspect. A retry from this router could run next to a suspect of another router, and a crash
 * would then quarantine both, although only one of them caused it.
 */
export async function runIdempotent(
  ctx: IdempotentContext,
  req: RoutedRequest,
  fingerprint: string,
  runSuspect: () => Promise<RoutedAnswer>,
): Promise<RoutedAnswer> {
  ctx.budget.recordRequest();
  const progress: Progress = { delayMs: 0 };

  while (performance.now() < req.deadlineAt && !req.signal.aborted) {
    if (ctx.quarantine.isSuspect(req.service.name, fingerprint)) {
      return accountForEarlierAttempts(await runSuspect(), progress);
    }
    const placement = ctx.map.place(req.service, req.key);
    const { failedPlacement } = progress;
    const isBlocked =
      placement === undefined ||
      (failedPlacement !== undefined &&
        isSameOwner(failedPlacement, placement) &&
        isFailing(ctx, placement));
    if (isBlocked) {
      const leftMs = req.deadlineAt - performance.now();
      await waitForChange(ctx.map, Math.min(leftMs, OWNER_CHECK_INTERVAL_MS), req.signal);
      continue;
    }
    using owner = watchOwner(ctx.map, req, placement);
    const attempted = await admittedAttempt(ctx, {
      req,
      fingerprint,
      placement,
      signal: owner.signal,
      isRepeated: failedPlacement?.server.id === placement.server.id,
      wasCancelled: () => owner.hasChanged() || req.signal.aborted,
    });
    if (attempted.isErr()) {
      if (owner.hasChanged()) continue;
      return accountForEarlierAttempts(attempted.error, progress);
    }
    progress.lastOutcome = attempted.value;
    if (mayHaveRun(attempted.value)) progress.lastUncertain = attempted.value;
    const answer = finalAnswer(attempted.value);
    if (answer !== undefined) return answer;
    progress.failedPlacement = placement;
    if (!(await prepareRetry(ctx, req, progress))) break;
  }
  return refusalAfterAttempts(progress.lastUncertain ?? progress.lastOutcome);
}
