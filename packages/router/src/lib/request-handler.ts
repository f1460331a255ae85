import { setTimeout as sleep } from 'node:timers/promises';

import { type IncarnationId, type CrashCounts, requestKey } from '@boragepoint/placement';
import type { HeaderCodec } from '@boragepoint/platform';

import { createAnswerRoom } from './answer-room.js';
import type { CallerRequest } from './caller-request.js';
import type { CrashGuard, GuardedRun } from './crash-guard.js';
import { requestHeaders } from './forwarded-headers.js';
import { identityOf } from './request-identity.js';
import { type Refusal, type ServerPickerContext, createServerPicker } from './pick-server.js';
import {
  HTTP_SERVER_ERROR,
  MAX_CRASHES,
  type Try,
  finalAnswer,
  mayTryAgain,
} from './request-outcome.js';
import { type RouterAnswer, ownAnswer } from './router-answer.js';
import type { RouterLog } from './router-log.js';
import { type SendOutcome, type ServerAnswer, sendRequest } from './send-request.js';
import { noteSent, noteTaken, pause } from './server-pause.js';
import { type PooledServer, isCold } from './server-pool.js';
import type { SharedRetryBudget } from './shared-retry-budget.js';

/** Time for which a server is left alone while others can take its requests, in milliseconds. */
const AVOID_MS = 1_000;
/** Time for which an owner of keys is left alone after a connection to it failed, in milliseconds. */
const UNREACHABLE_MS = 250;
/** Callers of a request that crashes servers come back after this time, in milliseconds. */
const CRASH_RETRY_MS = 3_000;
const HTTP_UNAVAILABLE = 503;
/** Outcomes that say nothing of how well a server does. */
const NOT_OF_HEALTH: readonly string[] = ['cancelled', 'misdirected', 'paused'];
const WAITS_FOR_TURN: Refusal = {
  kind: 'refuse',
  reason: 'equal requests, or others at the server, are being watched',
  retryAfterMs: 400,
};

/** What handling requests needs. */
export interface RequestHandlerContext extends ServerPickerContext {
  readonly codec: HeaderCodec;
  readonly log: RouterLog;
  routers(): number;
  isPartitioned(service: string): boolean;
  budgetOf(service: string): SharedRetryBudget;
  readonly guard: CrashGuard;
  /** A life of a server says that it leaves; returns whether that is news. */
  noteLeaving(life: IncarnationId): boolean;
  /** A request for a key arrived. */
  recordKey(service: string, key: number): void;
}

/** Sends requests to backend servers and finds the caller's answer. */
export interface RequestHandler {
  handle(req: CallerRequest): Promise<RouterAnswer>;
}

/** Longest wait of a suspect request for its turn, in milliseconds. */
const TURN_WAIT_MS = 1_500;

function barredAnswer(): RouterAnswer {
  const answer = ownAnswer('quarantined', 'equal requests ended servers', CRASH_RETRY_MS);
  return { ...answer, status: HTTP_UNAVAILABLE };
}

/** The server that the last try found not to hold the key. */
function notHeldBy(tries: readonly Try[]): string | undefined {
  const last = tries.at(-1);
  const isMisdirected = last?.outcome.kind === 'not-run' && last.outcome.why === 'misdirected';
  return isMisdirected ? last.server.entry.id : undefined;
}

function logOf({ server, outcome }: Try, now: number) {
  const details =
    outcome.kind === 'answer'
      ? { status: outcome.answer.status }
      : { why: outcome.why, ...('detail' in outcome && { detail: outcome.detail }) };
  return {
    server: server.entry.id,
    outcome: outcome.kind,
    ...details,
    inHand: Math.round(server.load.inHand(now) * 10) / 10,
  };
}

/** Creates a handler. */
export function createRequestHandler(ctx: RequestHandlerContext): RequestHandler {
  const { codec, log } = ctx;
  const picker = createServerPicker(ctx);
  const room = createAnswerRoom();

  async function send(run: GuardedRun, units: number): Promise<SendOutcome> {
    const { req, server } = run;
    const { load, connections, entry } = server;
    const startedAt = ctx.now();
    const leftMs = Math.max(1, Math.floor(req.deadlineAt - startedAt));
    const added = codec.writeRequest(entry.id, leftMs);
    const outgoing = {
      method: req.method,
      path: req.target,
      headers: requestHeaders(req.rawHeaders, req.connection, added),
      body: req.body,
      attemptId: req.attemptId,
    };
    const limit = new AbortController();
    const stop = () => {
      limit.abort();
    };
    const timer = setTimeout(stop, Math.max(0, req.answerBy - startedAt));
    req.gone.addEventListener('abort', stop);
    load.sent(startedAt);
    noteSent(server, startedAt);
    const outcome = await sendRequest(connections, outgoing, {
      codec,
      room,
      signal: limit.signal,
      unsent: server.unsent.signal,
    });
    clearTimeout(timer);
    req.gone.removeEventListener('abort', stop);
    noteOutcome(server, outcome, startedAt);
    // The time of a server that warms up says little of what it takes later.
    if (!isCold(server, startedAt)) noteTime(run, outcome, units, ctx.now() - startedAt);
    const isTimeout =
      outcome.kind === 'unknown' && outcome.why === 'cancelled' && !req.gone.aborted;
    if (isTimeout && server.answeredAt < startedAt) server.avoidUntil = ctx.now() + AVOID_MS;
    if (outcome.kind === 'unknown') {
      log.info('request without an answer', {
        request: req.attemptId,
        target: req.target,
        fingerprint: requestKey(identityOf(req)),
        server: entry.id,
        why: outcome.why,
        callerLeft: req.gone.aborted,
      });
    }
    return outcome;
  }

  /** Follows what a server says with an answer: that it leaves, or that it wants a pause. */
  function noteWishes(server: PooledServer, { meta }: ServerAnswer, now: number): void {
    const { id, startedMs } = server.entry;
    if (meta.leaving && ctx.noteLeaving({ server: id, startedMs })) {
      log.info('server leaves by its own word', { server: id });
    }
    if (meta.pauseMs !== undefined) {
      pause(server, meta.pauseMs, now);
      const forMs = Math.round(server.pausedUntil - now);
      log.info('server asks for a pause', { server: id, askedMs: Math.round(meta.pauseMs), forMs });
    } else if (!meta.notRun) {
      noteTaken(server);
    }
  }

  /** Learns from an outcome what it says of the server. */
  function noteOutcome(server: PooledServer, outcome: SendOutcome, startedAt: number): void {
    const now = ctx.now();
    const { load } = server;
    const answer = outcome.kind === 'unknown' ? undefined : outcome.answer;
    if (answer) server.answeredAt = now;
    if (answer) noteWishes(server, answer, now);
    const isPaused = answer?.meta.pauseMs !== undefined;
    if (outcome.kind === 'answer') {
      const isFailure = outcome.answer.status >= HTTP_SERVER_ERROR;
      load.done(startedAt, isPaused ? undefined : isFailure);
    } else if (isPaused || NOT_OF_HEALTH.includes(outcome.why)) {
      load.done(startedAt);
    } else {
      load.done(startedAt, true);
    }
    if (answer?.meta.load) load.reported(now, answer.meta.load);
    const isUnreached =
      outcome.kind === 'not-run' && (outcome.why === 'refused' || outcome.why === 'unconnected');
    if (isUnreached) {
      server.avoidUntil = now + AVOID_MS;
      server.unreachableUntil = now + UNREACHABLE_MS;
    }
    if (outcome.kind === 'unknown' && outcome.why === 'broken-off') server.connections.renew();
  }

  /** Learns from the time of an answer; a request that was given up tells only that it would have taken longer. */
  function noteTime(
    { req, server: { load } }: GuardedRun,
    outcome: SendOutcome,
    units: number,
    latencyMs: number,
  ): void {
    const isGivenUp = outcome.kind === 'unknown' && outcome.why === 'cancelled';
    const isLonger = isGivenUp && latencyMs > units * load.serviceMs();
    const isAnswered = outcome.kind === 'answer' && outcome.answer.status < HTTP_SERVER_ERROR;
    if (isAnswered) ctx.routeTimes.note(req.route.cfg.name, latencyMs, units, load.serviceMs());
    if (isAnswered || isLonger) load.noteTime(units, latencyMs);
  }

  function logTries(req: CallerRequest, tries: readonly Try[], end: string, by?: Refusal): void {
    const now = ctx.now();
    log.info('request', {
      request: req.attemptId,
      route: req.route.cfg.name,
      service: req.service,
      key: ctx.isPartitioned(req.service) ? req.meta.key : undefined,
      end,
      ...by?.decidedBy,
      afterMs: Math.round(now - req.arrivedAt),
      leftMs: Math.round(req.answerBy - now),
      tries: tries.map((it) => logOf(it, now)),
    });
  }

  function refuseBarred(req: CallerRequest, standing: CrashCounts): RouterAnswer {
    const { attemptId, service } = req;
    const fingerprint = requestKey(identityOf(req));
    log.warn('request ends servers', { request: attemptId, service, fingerprint, ...standing });
    return barredAnswer();
  }

  /** Tries servers one after the other until there is an answer or nothing more may be tried. */
  async function tryServers(req: CallerRequest, key: number | undefined): Promise<RouterAnswer> {
    const tries: Try[] = [];
    const budget = ctx.budgetOf(req.service);
    const turnUntil = Math.min(ctx.now() + TURN_WAIT_MS, req.answerBy);
    /** Other routers know what the tries showed: the caller may come back through any of them. */
    let told: Promise<void> | undefined;

    async function end(reason: string, refusal?: Refusal): Promise<RouterAnswer> {
      logTries(req, tries, reason, refusal);
      if (told) await Promise.race([told, sleep(Math.max(0, req.answerBy - ctx.now()))]);
      return finalAnswer(req, tries, refusal, ctx.now());
    }

    for (;;) {
      const tried = tries.map((it) => it.server.entry.id);
      const pick =
        key === undefined
          ? picker.pickAny(req, tried)
          : await picker.pickOwner(req, key, notHeldBy(tries));
      if (req.gone.aborted) return { kind: 'none' };
      if (pick.kind === 'refuse') return end(pick.reason, pick);
      const admission = await ctx.guard.admit(req, pick.server);
      if (admission.kind === 'barred') {
        if (tries.length === 0) return refuseBarred(req, admission.standing);
        return end('equal requests ended servers');
      }
      if (admission.kind === 'wait') {
        if (ctx.now() < turnUntil) continue;
        return end(WAITS_FOR_TURN.reason, WAITS_FOR_TURN);
      }
      const outcome = await send(admission.run, pick.units);
      ({ told } = await ctx.guard.finish(admission.run, outcome));
      tries.push({ server: pick.server, outcome });
      if (outcome.kind === 'answer' && outcome.answer.status < HTTP_SERVER_ERROR) {
        if (tries.length > 1) logTries(req, tries, 'answered');
        return finalAnswer(req, tries, undefined, ctx.now());
      }
      const again = mayTryAgain(req, {
        outcome,
        attempts: tries.length,
        hasOneOwner: key !== undefined,
        crashes: ctx.guard.standingOf(req).lives,
      });
      if (!again) return end('no further try');
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
      const standing = ctx.guard.standingOf(req);
      if (standing.ended >= MAX_CRASHES) return refuseBarred(req, standing);
      if (key !== undefined) ctx.recordKey(req.service, key);
      return tryServers(req, key);
    },
  };
}
