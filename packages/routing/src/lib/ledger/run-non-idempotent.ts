import { setTimeout as sleep } from 'node:timers/promises';

import { RESULT_CODES, type ResultCode } from '@boragepoint/config';

import { type LedgerClock, systemClock, untilDeadline } from './ledger-clock.js';
import type { BeginOutcome, ServerAnswer, Ledger, LedgerHandle } from './ledger-types.js';

const MAX_ATTEMPTS = 16;
/** Delay after the first attempt that provably did not run; it doubles up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 200;
const DEFAULT_RUN_PAST_DEADLINE_MS = 60_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Outcome of one dispatch. */
export type DispatchOutcome =
  /** The backend server answered completely. */
  | ({ readonly kind: 'answered' } & ServerAnswer)
  /** It provably did not run: no connection was opened, or the backend server refused it. */
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      /** Code for the caller if there is no further attempt; `ownerUnreachable` by default. */
      readonly code?: ResultCode;
      readonly retryAfterMs?: number;
      /** False if another attempt would be refused as well. */
      readonly mayRetry?: boolean;
    }
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly code?: ResultCode };

/** One non-idempotent request of a caller. */
export interface NonIdempotentRequest {
  readonly service: string;
  /** A request without a key is dispatched once, never retried and not recorded. */
  readonly idempotencyKey?: string | undefined;
  /** Hash of service, method, path and body. */
  readonly fingerprint: string;
  /** Time by which the caller must be answered, in milliseconds of the monotonic clock. */
  readonly deadlineAt: number;
  /** False if an earlier attempt under the same key may have gone through another keeper. */
  readonly isFirstAttempt?: boolean;
  /**
   * Aborts when the caller disconnects, which cancels the request only before its first dispatch.
   */
  readonly signal?: AbortSignal | undefined;
}

/** Result for the caller. */
export type NonIdempotentResult =
  | { readonly kind: 'answered'; readonly answer: ServerAnswer; readonly replayed: boolean }
  | {
      readonly kind: 'refused';
      readonly code: ResultCode;
      readonly message: string;
      readonly retryAfterMs?: number;
    };

/** Options of {@link runNonIdempotent}. */
export interface NonIdempotentRunOptions {
  readonly ledger: Ledger;
  /** Sends the request once. It must settle by itself some time after the deadline. */
  readonly dispatch: (attempt: number) => Promise<DispatchOutcome>;
  readonly req: NonIdempotentRequest;
  readonly clock?: LedgerClock;
  /** Time after the deadline at which an unfinished dispatch is recorded as unknown. */
  readonly runPastDeadlineMs?: number;
}

/**
 * Runs one non-idempotent request at the keeper: records the intent, dispatches the request and
 * records the outcome. The caller is answered by its deadline. A dispatched request is awaited and
 * its outcome recorded even if the caller no longer waits, so that a repeat gets the answer.
 */
export async function runNonIdempotent(run: NonIdempotentRunOptions): Promise<NonIdempotentResult> {
  const { ledger, req } = run;
  const clock = run.clock ?? systemClock;
  if (req.idempotencyKey === undefined) return runUnrecorded(run, clock);
  const begun = await ledger.begin({ ...req, idempotencyKey: req.idempotencyKey });
  if (begun.kind !== 'started') return resultOfBegin(begun, req);
  if (clock.now() >= req.deadlineAt || req.signal?.aborted === true) {
    void ledger.notRun(begun.handle);
    return refuse('deadlineTooShort', 'the time was over before the request could be sent');
  }
  const ended = dispatchWithTimeLimit(run, clock).then((outcome) => {
    recordOutcome(ledger, begun.handle, outcome);
    return resultOfDispatch(outcome);
  });
  return (await untilDeadline(ended, req.deadlineAt, clock)) ?? DEADLINE_PASSED;
}

const DEADLINE_PASSED: NonIdempotentResult = {
  kind: 'refused',
  code: RESULT_CODES.deadlinePassed,
  message: 'no answer came before the deadline; a repeat under the same key gets it',
  retryAfterMs: DEFAULT_RETRY_AFTER_MS,
};

function refuse(
  name: keyof typeof RESULT_CODES,
  message: string,
  retryAfterMs?: number,
): NonIdempotentResult {
  const refusal = { kind: 'refused', code: RESULT_CODES[name], message } as const;
  return retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs };
}

async function runUnrecorded(
  run: NonIdempotentRunOptions,
  clock: LedgerClock,
): Promise<NonIdempotentResult> {
  const ended = dispatchOnce(run, 1).then(resultOfDispatch);
  return (await untilDeadline(ended, run.req.deadlineAt, clock)) ?? DEADLINE_PASSED;
}

async function dispatchOnce(
  run: NonIdempotentRunOptions,
  attempt: number,
): Promise<DispatchOutcome> {
  try {
    return await run.dispatch(attempt);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'the dispatch failed';
    return { kind: 'unknown', reason };
  }
}

/**
 * Dispatches until the request ran or may have run; retries only attempts that provably did not.
 */
async function dispatchWithRetries(
  run: NonIdempotentRunOptions,
  clock: LedgerClock,
): Promise<DispatchOutcome> {
  let retryDelayMs = INITIAL_RETRY_DELAY_MS;
  for (let attempt = 1; ; attempt += 1) {
    const outcome = await dispatchOnce(run, attempt);
    if (outcome.kind !== 'not-run' || outcome.mayRetry === false) return outcome;
    const isLate = clock.now() + retryDelayMs >= run.req.deadlineAt;
    if (attempt === MAX_ATTEMPTS || isLate || run.req.signal?.aborted === true) return outcome;
    await sleep(retryDelayMs);
    retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
  }
}

async function dispatchWithTimeLimit(
  run: NonIdempotentRunOptions,
  clock: LedgerClock,
): Promise<DispatchOutcome> {
  const timeLimitAt = run.req.deadlineAt + (run.runPastDeadlineMs ?? DEFAULT_RUN_PAST_DEADLINE_MS);
  const outcome = await untilDeadline(dispatchWithRetries(run, clock), timeLimitAt, clock);
  return outcome ?? { kind: 'unknown', reason: 'the dispatch did not end' };
}

function recordOutcome(ledger: Ledger, handle: LedgerHandle, outcome: DispatchOutcome): void {
  if (outcome.kind === 'answered') void ledger.finish(handle, outcome);
  else if (outcome.kind === 'not-run') void ledger.notRun(handle);
  else void ledger.unknown(handle);
}

function resultOfDispatch(outcome: DispatchOutcome): NonIdempotentResult {
  if (outcome.kind === 'answered') {
    const { status, headers, body } = outcome;
    return { kind: 'answered', answer: { status, headers, body }, replayed: false };
  }
  const message = outcome.reason;
  if (outcome.kind === 'unknown') {
    return { kind: 'refused', code: outcome.code ?? RESULT_CODES.outcomeUnknown, message };
  }
  const code = outcome.code ?? RESULT_CODES.ownerUnreachable;
  const retryAfterMs = outcome.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  return { kind: 'refused', code, message, retryAfterMs };
}

function resultOfBegin(
  begun: Exclude<BeginOutcome, { kind: 'started' }>,
  req: NonIdempotentRequest,
): NonIdempotentResult {
  switch (begun.kind) {
    case 'done':
      return { kind: 'answered', answer: begun.answer, replayed: true };
    case 'unfinished':
      return begun.reason === 'running-here'
        ? refuse('outcomeUnknown', 'an earlier try still runs', DEFAULT_RETRY_AFTER_MS)
        : refuse('outcomeUnknown', 'an earlier try may have run');
    case 'reused':
      return refuse('idempotencyKeyReused', 'the Idempotency-Key was used for another request');
    case 'expired':
      return refuse('answerExpired', 'the record of this Idempotency-Key is no longer kept');
    case 'bad-key':
      return refuse('badIdempotencyKey', `the Idempotency-Key ${begun.message}`);
    case 'unavailable':
      return begun.earlierAttempt === 'not-known' && req.isFirstAttempt === false
        ? refuse('outcomeUnknown', 'an earlier try may have run', begun.retryAfterMs)
        : refuse('tableUnavailable', 'the intent could not be recorded', begun.retryAfterMs);
  }
}
