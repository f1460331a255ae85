import { setTimeout as sleep } from 'node:timers/promises';

import { type CrashCounts, requestKey } from '@boragepoint/placement';
import type { HeaderCodec } from '@boragepoint/platform';

import type { AnswerMemory } from './answer-memory.js';
import type { CallerRequest } from './caller-request.js';
import type { CrashGuard, GuardedRun } from './crash-guard.js';
import { requestHeaders } from './forwarded-headers.js';
import { identityOf } from './request-identity.js';
import {
  type PickedServer,
  type ServerPick,
  type ServerPickerContext,
  createServerPicker,
} from './pick-server.js';
import {
  HTTP_SERVER_ERROR,
  MAX_CRASHES,
  type Attempt,
  countSends,
  finalAnswer,
  mayRetry,
} from './request-outcome.js';
import { type CallerAnswer, ownAnswer } from './caller-answer.js';
import type { Refusal } from './refusals.js';
import type { RouterLog } from './router-log.js';
import type { RouterMetrics } from './router-metrics.js';
import { type SendOutcome, sendRequest } from './send-request.js';
import { noteSent } from './server-backoff.js';
import { type ServerObserverContext, createServerObserver } from './server-observer.js';
import { incarnationOf } from './server-pool.js';
import type { SharedRetryBudget } from './shared-retry-budget.js';

/** Time in which a request with a permit has to be sent, in milliseconds. */
const PERMIT_TTL_MS = 500;
/** `Retry-After` of the refusal of a crashing request, in milliseconds. */
const CRASH_RETRY_AFTER_MS = 3_000;
const HTTP_UNAVAILABLE = 503;
const SUSPECT_WAIT_REFUSAL: Refusal = {
  kind: 'refuse',
  reason: 'equal requests, or others at the server, are being watched',
  retryAfterMs: 400,
};

/** Dependencies of the request handler. */
export interface RequestHandlerContext extends ServerPickerContext, ServerObserverContext {
  readonly codec: HeaderCodec;
  /** Limits the memory of answers that are still arriving. */
  readonly answerMemory: AnswerMemory;
  readonly log: RouterLog;
  /** Number of routers that share the retry budgets. */
  routers(): number;
  isPartitioned(service: string): boolean;
  budgetOf(service: string): SharedRetryBudget;
  readonly guard: CrashGuard;
  readonly metrics: Pick<
    RouterMetrics,
    | 'recordLimitedSend'
    | 'recordColdSend'
    | 'recordLimitedRefusal'
    | 'recordAnnouncement'
    | 'recordIneligible'
  >;
  /** Records a request for a key. */
  recordKey(service: string, key: number): void;
}

/** Sends requests to backend servers and finds the caller's answer. */
export interface RequestHandler {
  handle(req: CallerRequest): Promise<CallerAnswer>;
}

/** Longest wait of a suspect request until it may be sent, in milliseconds. */
const MAX_SUSPECT_WAIT_MS = 1_500;

function crashingRequestAnswer(): CallerAnswer {
  const answer = ownAnswer('quarantined', 'equal requests ended servers', CRASH_RETRY_AFTER_MS);
  return { ...answer, status: HTTP_UNAVAILABLE };
}

/** The server whose answer to the last attempt says that it does not hold the key. */
function lastMisdirectedServer(attempts: readonly Attempt[]): string | undefined {
  const last = attempts.at(-1);
  const isMisdirected = last?.outcome.kind === 'not-run' && last.outcome.why === 'misdirected';
  return isMisdirected ? last.server.entry.id : undefined;
}

function attemptFields({ server, outcome }: Attempt, now: number) {
  const details =
    outcome.kind === 'answer'
      ? { status: outcome.answer.status }
      : { why: outcome.why, ...('detail' in outcome && { detail: outcome.detail }) };
  return {
    server: server.entry.id,
    outcome: outcome.kind,
    ...details,
    inHand: Math.round(server.load.totalInFlight(now) * 10) / 10,
  };
}

/**
 * Cancels a request that waits for a connection; one with a permit is cancelled when the permit has
 * lapsed, as requests that wait would reach the server all at once.
 */
function unsentSignalOf({ server, hasPermit }: PickedServer): AbortSignal {
  const { signal } = server.unsentAbort;
  return hasPermit ? AbortSignal.any([signal, AbortSignal.timeout(PERMIT_TTL_MS)]) : signal;
}

const wasHeldBack = (outcome: SendOutcome) =>
  outcome.kind === 'not-run' && outcome.why === 'paused';

/** Creates a handler. */
export function createRequestHandler(ctx: RequestHandlerContext): RequestHandler {
  const { codec, log } = ctx;
  const picker = createServerPicker(ctx);
  const observer = createServerObserver(ctx);

  /**
   * Sends a request that was sent to the same server `earlierSends` times before; not at all if
   * `unsentSignal` has aborted since the server was picked.
   */
  async function send(
    run: GuardedRun,
    pick: PickedServer,
    unsentSignal: AbortSignal,
    earlierSends: number,
  ): Promise<SendOutcome> {
    const { req, server } = run;
    const { serviceTimes, serviceMs } = pick;
    const { load, entry } = server;
    const startedAt = ctx.now();
    const leftMs = Math.max(1, Math.floor(req.deadlineAt - startedAt));
    const added = codec.writeRequest(entry.id, leftMs);
    const outgoing = {
      method: req.method,
      path: req.target,
      headers: requestHeaders(req.rawHeaders, req.connection, added),
      body: req.body,
      attemptId: req.attemptId,
      idempotent: req.route.cfg.idempotent,
    };
    const cancellation = new AbortController();
    const cancel = () => {
      cancellation.abort();
    };
    const timer = setTimeout(cancel, Math.max(0, req.answerBy - startedAt));
    req.disconnectSignal.addEventListener('abort', cancel);
    if (req.disconnectSignal.aborted) cancel();
    load.recordSent(startedAt);
    noteSent(server, startedAt);
    if (ctx.limits.limitOf(incarnationOf(server)) !== undefined)
      ctx.metrics.recordLimitedSend(req.service);
    if (ctx.permits.isCold(server)) ctx.metrics.recordColdSend(req.service);
    const outcome = await sendRequest(server.connections.forRepeat(earlierSends), outgoing, {
      codec,
      memory: ctx.answerMemory,
      signal: cancellation.signal,
      unsentSignal,
      maySend: () => isEligible(run),
    });
    clearTimeout(timer);
    req.disconnectSignal.removeEventListener('abort', cancel);
    observer.noteOutcome(run, outcome, { startedAt, serviceTimes, serviceMs });
    if (outcome.kind === 'unknown') {
      log.info('request outcome unknown', {
        request: req.attemptId,
        target: req.target,
        fingerprint: requestKey(identityOf(req)),
        server: entry.id,
        why: outcome.why,
        detail: outcome.detail,
        callerLeft: req.disconnectSignal.aborted,
      });
    }
    return outcome;
  }

  /** Returns whether the server of a run may receive the request at this moment. */
  function isEligible({ req, server }: GuardedRun): boolean {
    return ctx.eligibility.isEligible(server.entry, req.route.cfg);
  }

  function returnPermit(pick: ServerPick): void {
    if (pick.kind === 'server' && pick.hasPermit) ctx.permits.giveBack(pick.server);
  }

  function logAttempts(
    req: CallerRequest,
    attempts: readonly Attempt[],
    end: string,
    refusal?: Refusal,
  ): void {
    const now = ctx.now();
    log.info('request', {
      request: req.attemptId,
      route: req.route.cfg.name,
      service: req.service,
      key: ctx.isPartitioned(req.service) ? req.meta.key : undefined,
      end,
      ...refusal?.decidedBy,
      afterMs: Math.round(now - req.arrivedAt),
      leftMs: Math.round(req.answerBy - now),
      tries: attempts.map((it) => attemptFields(it, now)),
    });
  }

  function refuseCrashingRequest(req: CallerRequest, crashCounts: CrashCounts): CallerAnswer {
    const { attemptId, service } = req;
    const fingerprint = requestKey(identityOf(req));
    log.warn('crashing request refused', {
      request: attemptId,
      service,
      fingerprint,
      ...crashCounts,
    });
    return crashingRequestAnswer();
  }

  /** Tries one server after the other until one answers or no further attempt is allowed. */
  async function tryServers(req: CallerRequest, key: number | undefined): Promise<CallerAnswer> {
    const attempts: Attempt[] = [];
    const budget = ctx.budgetOf(req.service);
    const suspectWaitUntil = Math.min(ctx.now() + MAX_SUSPECT_WAIT_MS, req.answerBy);
    /**
     * Resolves when the other routers know of the last lost run. The answer waits for that, because
     * the caller may retry through any of them.
     */
    let shared: Promise<void> | undefined;

    async function end(reason: string, refusal?: Refusal): Promise<CallerAnswer> {
      logAttempts(req, attempts, reason, refusal);
      if (refusal?.decidedBy && 'limitPerS' in refusal.decidedBy)
        ctx.metrics.recordLimitedRefusal(req.service);
      if (refusal?.result === 'noEligibleServer')
        ctx.metrics.recordIneligible(req.route.cfg.name, 'refused');
      if (shared) await Promise.race([shared, sleep(Math.max(0, req.answerBy - ctx.now()))]);
      return finalAnswer(req, attempts, refusal, ctx.now());
    }

    for (;;) {
      const tried = attempts.map((it) => it.server.entry.id);
      const pick =
        key === undefined
          ? await picker.pickAny(req, tried)
          : await picker.pickOwner(req, key, lastMisdirectedServer(attempts));
      if (req.disconnectSignal.aborted) {
        returnPermit(pick);
        return { kind: 'none' };
      }
      if (pick.kind === 'refuse') return end(pick.reason, pick);
      // The caller may leave, and the server ask for no more requests, before the run is admitted.
      const unsentSignal = unsentSignalOf(pick);
      const admission = await ctx.guard.admit(req, pick.server);
      if (admission.kind !== 'run') returnPermit(pick);
      if (admission.kind === 'refuse') {
        if (attempts.length === 0) return refuseCrashingRequest(req, admission.crashCounts);
        return end('equal requests ended servers');
      }
      if (admission.kind === 'wait') {
        if (ctx.now() < suspectWaitUntil) continue;
        return end(SUSPECT_WAIT_REFUSAL.reason, SUSPECT_WAIT_REFUSAL);
      }
      const earlierSends = countSends(attempts, pick.server);
      const outcome = await send(admission.run, pick, unsentSignal, earlierSends);
      const finished = await ctx.guard.finish(admission.run, outcome);
      // What was not sent counts neither as an attempt nor as a retry.
      if (wasHeldBack(outcome) && !isEligible(admission.run)) {
        ctx.metrics.recordIneligible(req.route.cfg.name, 'diverted');
        continue;
      }
      ({ shared } = finished);
      attempts.push({ server: pick.server, outcome });
      if (outcome.kind === 'answer' && outcome.answer.status < HTTP_SERVER_ERROR) {
        if (attempts.length > 1) logAttempts(req, attempts, 'answered');
        return finalAnswer(req, attempts, undefined, ctx.now());
      }
      const canRetry = mayRetry(req, {
        outcome,
        attemptCount: attempts.length,
        hasOneOwner: key !== undefined,
        crashes: ctx.guard.crashCountsOf(req).lives,
      });
      if (!canRetry) return end('no further try');
      if (!budget.tryRetry(ctx.now(), ctx.routers())) return end('retry budget spent');
    }
  }

  return {
    async handle(req) {
      const isPartitioned = ctx.isPartitioned(req.service);
      const key = isPartitioned ? req.meta.key : undefined;
      if (isPartitioned && key === undefined) {
        return ownAnswer('missingKey', 'the request has no key');
      }
      ctx.budgetOf(req.service).recordRequest(ctx.now());
      const { priority, objectiveMs } = req.route.cfg;
      ctx.demand.record(req.service, priority, objectiveMs);
      const crashCounts = ctx.guard.crashCountsOf(req);
      if (crashCounts.ended >= MAX_CRASHES) return refuseCrashingRequest(req, crashCounts);
      if (key !== undefined) ctx.recordKey(req.service, key);
      return tryServers(req, key);
    },
  };
}
