import { type PlacementView, rangeOf } from '@boragepoint/placement';
import type { HeaderCodec, ReportedLoad, RouteConfig } from '@boragepoint/platform';

import { admit, boundRetryAfter } from './admission.js';
import type { CallerRequest } from './caller-request.js';
import { type ServerCandidate, chooseServer, expectedMs } from './choose-server.js';
import { type CrashGuard, MAX_CRASHES, fingerprintOf } from './crash-guard.js';
import { requestHeaders } from './forwarded-headers.js';
import { type RouterAnswer, ownAnswer } from './router-answer.js';
import type { RouterLog } from './router-log.js';
import { type SendOutcome, sendRequest } from './send-request.js';
import { type PooledServer, type ServerPool, candidateOf } from './server-pool.js';
import { type SharedRetryBudget } from './shared-retry-budget.js';

/** Longest wait for a range that is changing hands, as a share of the latency objective. */
const RANGE_WAIT_SHARE = 0.6;
const RANGE_WAIT_STEP_MS = 250;
/** Time for which a server is left alone after a connection to it failed, in milliseconds. */
const AVOID_MS = 1_000;
/** Callers of a range without an owner come back after this time, in milliseconds. */
const NO_OWNER_RETRY_MS = 400;
/** A server that leaves gets no new requests after this share of its notice. */
const NOTICE_SHARE = 0.6;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;

/** What handling requests needs. */
export interface RequestHandlerContext {
  readonly pool: ServerPool;
  readonly codec: HeaderCodec;
  readonly log: RouterLog;
  view(): PlacementView;
  waitForPlacement(ms: number): Promise<void>;
  routers(): number;
  isFar(availabilityZone: string): boolean;
  /** How long a draining server takes requests, in milliseconds. */
  readonly drainNoticeMs: () => number;
  /** When a server was first seen draining; `undefined` if it isn't. */
  drainingSince(id: string): number | undefined;
  isPartitioned(service: string): boolean;
  budgetOf(service: string): SharedRetryBudget;
  readonly guard: CrashGuard;
  /** Servers that ended lately while they ran equal requests. */
  crashesOf(fingerprint: string): number;
  /** A request for a key arrived. */
  recordKey(service: string, key: number): void;
  now(): number;
  readonly random: () => number;
}

/** The next server for a request, or why there is none. */
type Pick =
  { readonly kind: 'server'; readonly server: PooledServer; readonly expectedMs: number } | Refusal;

/** Why a request is not sent anywhere now, and what that was decided by. */
interface Refusal {
  readonly kind: 'refuse';
  readonly reason: string;
  readonly retryAfterMs: number;
  readonly decidedBy?: {
    readonly server: string;
    readonly expectedMs: number;
    readonly inHand: number;
  };
}

/** One try of a request at a server. */
interface Try {
  readonly server: PooledServer;
  readonly outcome: SendOutcome;
}

/** Callers of a request that crashes servers come back after this time, in milliseconds. */
const CRASH_RETRY_MS = 3_000;

/** Returns whether a server that shed a request had room for it: it sheds some whatever its load. */
export function hasRoom(load: ReportedLoad | undefined): boolean {
  return load !== undefined && load.waiting < load.slots;
}

function fullRefusal(
  reason: string,
  server: ServerCandidate,
  expected: number,
  retryAfterMs: number,
): Refusal {
  const decidedBy = {
    server: server.id,
    expectedMs: Math.round(expected),
    inHand: Math.round(server.inHand * 10) / 10,
  };
  return { kind: 'refuse', reason, retryAfterMs, decidedBy };
}

function crashAnswer(): RouterAnswer {
  const answer = ownAnswer('quarantined', 'equal requests crashed servers', CRASH_RETRY_MS);
  return { ...answer, status: HTTP_UNAVAILABLE };
}

/** Sends requests to backend servers and finds the caller's answer. */
export interface RequestHandler {
  handle(req: CallerRequest): Promise<RouterAnswer>;
}

/** Creates a handler. */
export function createRequestHandler(ctx: RequestHandlerContext): RequestHandler {
  const { pool, codec, log } = ctx;

  function isLeaving(server: PooledServer): boolean {
    const since = ctx.drainingSince(server.entry.id);
    return since !== undefined && ctx.now() > since + ctx.drainNoticeMs() * NOTICE_SHARE;
  }

  function admitted(cfg: RouteConfig, req: CallerRequest, server: ServerCandidate, ms: number) {
    return admit({
      expectedMs: ms,
      timeLeftMs: req.answerBy - ctx.now(),
      objectiveMs: cfg.objectiveMs,
      serviceMs: server.serviceMs,
      priority: cfg.priority,
    });
  }

  /** Picks among equal servers. */
  function pickAny(req: CallerRequest, tried: readonly string[]): Pick {
    const now = ctx.now();
    const cfg = req.route.cfg;
    const servers = pool.ofService(req.service).filter((it) => !tried.includes(it.entry.id));
    const calm = servers.filter((it) => now >= it.avoidUntil);
    const usable = calm.length > 0 ? calm : servers;
    const candidates = usable.map((it) =>
      candidateOf(it, ctx.isFar(it.entry.availabilityZone), now),
    );
    const choice = chooseServer(candidates, { objectiveMs: cfg.objectiveMs, random: ctx.random });
    const server = choice && pool.get(choice.id);
    const candidate = candidates.find((it) => it.id === choice?.id);
    if (!choice || !server || !candidate) {
      return { kind: 'refuse', reason: 'no backend server', retryAfterMs: NO_OWNER_RETRY_MS };
    }
    const admission = admitted(cfg, req, candidate, choice.expectedMs);
    if (admission.kind === 'send') return { kind: 'server', server, expectedMs: choice.expectedMs };
    return fullRefusal('servers are full', candidate, choice.expectedMs, admission.retryAfterMs);
  }

  /** Waits for an owner of the key that may serve. */
  async function findOwner(req: CallerRequest, key: number): Promise<PooledServer | undefined> {
    const waitUntil = ctx.now() + req.route.cfg.objectiveMs * RANGE_WAIT_SHARE;
    for (;;) {
      const range = rangeOf(ctx.view(), req.service, key);
      const server = range?.granted === true ? pool.get(range.owner ?? '') : undefined;
      const isUsable = server && ctx.now() >= server.avoidUntil && !isLeaving(server);
      if (isUsable) return server;
      const waitMs = Math.min(waitUntil, req.answerBy) - ctx.now();
      if (waitMs <= 0 || req.gone.aborted) return undefined;
      await ctx.waitForPlacement(Math.min(waitMs, RANGE_WAIT_STEP_MS));
    }
  }

  /** Picks the owner of the request's key. */
  async function pickOwner(req: CallerRequest, key: number): Promise<Pick> {
    const server = await findOwner(req, key);
    if (!server) {
      return { kind: 'refuse', reason: 'no owner of the key', retryAfterMs: NO_OWNER_RETRY_MS };
    }
    const candidate = candidateOf(server, false, ctx.now());
    const answerMs = expectedMs(candidate);
    const admission = admitted(req.route.cfg, req, candidate, answerMs);
    if (admission.kind === 'send') return { kind: 'server', server, expectedMs: answerMs };
    return fullRefusal('the owner is full', candidate, answerMs, admission.retryAfterMs);
  }

  async function send(req: CallerRequest, server: PooledServer): Promise<SendOutcome> {
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
    const outcome = await sendRequest(connections, outgoing, codec, limit.signal);
    clearTimeout(timer);
    req.gone.removeEventListener('abort', stop);
    noteOutcome(server, outcome, startedAt);
    if (outcome.kind === 'unknown' && outcome.why === 'broken-off') {
      const { id, startedMs } = entry;
      ctx.guard.suspect({ fingerprint: fingerprintOf(req), server: id, startedMs });
    }
    return outcome;
  }

  function noteOutcome(server: PooledServer, outcome: SendOutcome, startedAt: number): void {
    const now = ctx.now();
    const { load } = server;
    const answer = outcome.kind === 'unknown' ? undefined : outcome.answer;
    if (answer?.meta.load) load.noteQueue(answer.meta.load);
    if (outcome.kind === 'answer') {
      const isFailure = outcome.answer.status >= HTTP_SERVER_ERROR;
      load.done(isFailure ? undefined : now - startedAt, isFailure);
    } else if (outcome.why === 'cancelled' || outcome.why === 'misdirected') {
      load.done(undefined);
    } else {
      load.done(undefined, true);
    }
    if (answer?.meta.load) load.reported(now, answer.meta.load);
    if (
      outcome.kind === 'not-run' &&
      (outcome.why === 'refused' || outcome.why === 'unconnected')
    ) {
      server.avoidUntil = now + AVOID_MS;
    }
    if (outcome.kind === 'unknown' && outcome.why === 'broken-off') server.connections.renew();
  }

  /** The caller's answer once nothing more is tried. */
  function finalAnswer(req: CallerRequest, tries: readonly Try[], refusal?: Pick): RouterAnswer {
    const answered = tries.findLast((it) => it.outcome.kind === 'answer');
    if (answered?.outcome.kind === 'answer') {
      return { kind: 'server', answer: answered.outcome.answer, server: answered.server.entry.id };
    }
    if (req.gone.aborted) return { kind: 'none' };
    const unknown = tries.findLast((it) => it.outcome.kind === 'unknown');
    if (unknown?.outcome.kind === 'unknown') {
      const { why, detail } = unknown.outcome;
      if (why === 'cancelled') return ownAnswer('deadlinePassed', 'no answer in time');
      return ownAnswer('outcomeUnknown', `the server's answer is ${why}: ${detail}`);
    }
    const invalid = tries.find(
      (it) => it.outcome.kind === 'not-run' && it.outcome.why === 'invalid',
    );
    if (invalid) return ownAnswer('badRequest', 'the backend server takes no such request');
    if (refusal?.kind === 'refuse') {
      return ownAnswer('overloaded', refusal.reason, boundRetryAfter(refusal.retryAfterMs));
    }
    const last = tries.at(-1);
    const load = last?.server.load;
    const queueMs = load ? (load.inHand(ctx.now()) * load.serviceMs()) / load.slots() / 2 : 0;
    return ownAnswer('refusedByServer', 'not run by any server', boundRetryAfter(queueMs));
  }

  /** Returns whether another server may be tried after an outcome. */
  function mayTryAgain(req: CallerRequest, outcome: SendOutcome, attempts: number): boolean {
    const { cfg } = req.route;
    if (attempts >= cfg.maxAttempts || req.gone.aborted) return false;
    if (outcome.kind === 'answer') {
      return cfg.idempotent && outcome.answer.status >= HTTP_SERVER_ERROR;
    }
    if (outcome.kind === 'not-run') {
      // The only owner of the key is full: the caller comes back when its queue is shorter.
      const isOwnerFull = outcome.why === 'shed' && !hasRoom(outcome.answer?.meta.load);
      if (isOwnerFull && ctx.isPartitioned(req.service)) return false;
      return outcome.why !== 'invalid' && outcome.why !== 'cancelled';
    }
    if (ctx.crashesOf(fingerprintOf(req)) + attempts >= MAX_CRASHES + 1) return false;
    return cfg.idempotent && outcome.why !== 'cancelled';
  }

  async function handle(req: CallerRequest): Promise<RouterAnswer> {
    const tries: Try[] = [];
    const tried: string[] = [];
    const budget = ctx.budgetOf(req.service);
    const key = ctx.isPartitioned(req.service) ? req.meta.key : undefined;
    if (ctx.isPartitioned(req.service) && key === undefined) {
      return ownAnswer('missingKey', 'the request has no key');
    }
    budget.recordRequest(ctx.now());
    const crashes = ctx.crashesOf(fingerprintOf(req));
    if (crashes >= MAX_CRASHES) {
      log.warn('request crashes servers', {
        request: req.attemptId,
        service: req.service,
        crashes,
      });
      return crashAnswer();
    }
    if (key !== undefined) ctx.recordKey(req.service, key);
    for (;;) {
      const pick = key === undefined ? pickAny(req, tried) : await pickOwner(req, key);
      if (req.gone.aborted) return { kind: 'none' };
      if (pick.kind === 'refuse') {
        logTries(req, tries, pick.reason, pick);
        return finalAnswer(req, tries, pick);
      }
      const { server } = pick;
      tried.push(server.entry.id);
      const outcome = await send(req, server);
      tries.push({ server, outcome });
      const isDone = outcome.kind === 'answer' && outcome.answer.status < HTTP_SERVER_ERROR;
      if (isDone) {
        if (tries.length > 1) logTries(req, tries, 'answered');
        return finalAnswer(req, tries);
      }
      const again = mayTryAgain(req, outcome, tries.length);
      if (!again || !budget.tryRetry(ctx.now(), ctx.routers())) {
        logTries(req, tries, again ? 'retry budget spent' : 'no further try');
        return finalAnswer(req, tries);
      }
      if (outcome.kind === 'not-run' && outcome.why === 'misdirected' && key !== undefined) {
        await ctx.waitForPlacement(RANGE_WAIT_STEP_MS);
      }
    }
  }

  function logTries(req: CallerRequest, tries: readonly Try[], end: string, by?: Refusal): void {
    log.info('request', {
      request: req.attemptId,
      route: req.route.cfg.name,
      service: req.service,
      key: req.meta.key,
      end,
      ...by?.decidedBy,
      afterMs: Math.round(ctx.now() - req.arrivedAt),
      leftMs: Math.round(req.answerBy - ctx.now()),
      tries: tries.map(({ server, outcome }) => ({
        server: server.entry.id,
        outcome: outcome.kind,
        ...(outcome.kind === 'answer'
          ? { status: outcome.answer.status }
          : { why: outcome.why, ...('detail' in outcome && { detail: outcome.detail }) }),
        inHand: Math.round(server.load.inHand(ctx.now()) * 10) / 10,
      })),
    });
  }

  return { handle };
}
