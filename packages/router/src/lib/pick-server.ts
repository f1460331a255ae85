import { type PlacementView, rangeOf } from '@boragepoint/placement';

import { type AdmissionInput, admissionLimit, admit } from './admission.js';
import type { CallerRequest } from './caller-request.js';
import {
  type ServerCandidate,
  chooseServer,
  expectedAnswerMs,
  expectedMs,
  expectedServiceTimes,
} from './choose-server.js';
import { refusalChance } from './refusal-chance.js';
import {
  type Refusal,
  refuse,
  refuseBackingOff,
  refuseIneligible,
  refuseOverload,
} from './refusals.js';
import type { RouteTimes } from './route-times.js';
import { isBackingOff } from './server-backoff.js';
import type { ServerEligibility } from './server-eligibility.js';
import type { ServerPermits } from './server-permits.js';
import { type PooledServer, type ServerPool, candidateOf, usableNoticeMs } from './server-pool.js';
import type { ServiceDemand } from './service-demand.js';
import type { SubsetChoice } from './subset-choice.js';

/**
 * Longest wait for an owner that holds the key's range and can be reached, as a share of the
 * latency objective.
 */
const RANGE_WAIT_SHARE = 0.6;
const RANGE_POLL_INTERVAL_MS = 250;
/** Random part of the order of cold servers; less than what a zone counts. */
const ORDER_JITTER = 0.01;
/**
 * Expected time to the answer from which a request does not stay in the subset, as a share of the
 * latency objective.
 */
const LATE_SHARE = 0.6;
/** The same in service times: a route whose work takes most of its objective is always later. */
const LATE_SERVICE_TIMES = 1.5;
/** Share of failures from which a request does not stay in the subset. */
const FAILING_RATE = 0.5;

/** Dependencies of the server picker. */
export interface ServerPickerContext {
  readonly pool: ServerPool;
  readonly eligibility: ServerEligibility;
  view(): PlacementView;
  /** Waits for a change of the placement, at most for `ms` milliseconds. */
  waitForPlacement(ms: number): Promise<void>;
  /**
   * Time for which owners can't be known, because the store lost them and no router knows them, in
   * milliseconds; 0 if that is not so.
   */
  ownersUnknownForMs(): number;
  /**
   * By how much sooner a server in that zone has to be expected to answer than one in the own zone,
   * as a share of the latency objective.
   */
  distanceTo(availabilityZone: string): number;
  /** Notice time for which a draining server accepts requests, in milliseconds. */
  readonly drainNoticeMs: () => number;
  /**
   * Earliest time at which a server can have begun to drain, in milliseconds of the monotonic
   * clock; `undefined` if it doesn't.
   */
  drainingSince(id: string): number | undefined;
  /** Share of the requests for a server's keys that this router forwards. */
  admittedShare(server: string): number;
  readonly routeTimes: RouteTimes;
  readonly demand: ServiceDemand;
  /** Subsets of servers without keys; missing if all are used. */
  readonly subsets?: SubsetChoice;
  /** Permits for servers with a rate limit. */
  readonly permits: ServerPermits;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** The server for the next attempt of a request, or the refusal if there is none. */
export type ServerPick = PickedServer | Refusal;

/** The server for the next attempt of a request. */
export interface PickedServer {
  readonly kind: 'server';
  readonly server: PooledServer;
  /** Expected time to the answer, in service times. */
  readonly serviceTimes: number;
  /** Service time of the server without queueing that this rests on, in milliseconds. */
  readonly serviceMs: number;
  /** True if the server has a rate limit, so that the request has taken a permit. */
  readonly hasPermit: boolean;
}

/** Picks the server for a request. */
export interface ServerPicker {
  /**
   * Picks among the equal servers of the service, except those already tried: within the router's
   * subset, or among all if no server of the subset should take the request.
   */
  pickAny(req: CallerRequest, tried: readonly string[]): Promise<ServerPick>;
  /**
   * Picks the owner of the key, and waits while the range changes owners. The server
   * `misdirectedTo` has just answered that it doesn't hold the key, so a placement that names it is
   * out of date.
   */
  pickOwner(req: CallerRequest, key: number, misdirectedTo?: string): Promise<ServerPick>;
}

/** Creates a picker. */
export function createServerPicker(ctx: ServerPickerContext): ServerPicker {
  const { pool, permits, eligibility } = ctx;
  const isLimited = (server: PooledServer) => permits.limitOf(server) !== undefined;

  function isPastNotice(server: PooledServer): boolean {
    const since = ctx.drainingSince(server.entry.id);
    return since !== undefined && ctx.now() > since + usableNoticeMs(ctx.drainNoticeMs());
  }

  function eligibleOf(req: CallerRequest, servers: readonly PooledServer[]) {
    const { cfg } = req.route;
    if (eligibility.isUnrestricted(cfg)) return servers;
    return servers.filter((it) => eligibility.isEligible(it.entry, cfg));
  }

  /**
   * Servers that accept a request and may receive it; draining ones only if there are no others.
   */
  function serversFor(req: CallerRequest): readonly PooledServer[] {
    const ready = eligibleOf(req, pool.ofService(req.service));
    if (ready.length > 0) return ready;
    return eligibleOf(req, pool.leaving(req.service)).filter((it) => !isPastNotice(it));
  }

  /** Returns whether a service has servers, but none that may receive a request. */
  function lacksEligibleServer(req: CallerRequest): boolean {
    if (eligibility.isUnrestricted(req.route.cfg)) return false;
    const servers = [...pool.ofService(req.service), ...pool.leaving(req.service)];
    return servers.length > 0 && eligibleOf(req, servers).length === 0;
  }

  /** Returns whether a request is sent to measure its route, which alone speaks against sending it. */
  function isProbe(input: AdmissionInput, candidate: ServerCandidate, route: string): boolean {
    const serverInput = {
      ...input,
      expectedMs: expectedMs(candidate),
      serviceMs: candidate.serviceMs,
    };
    return admit(serverInput).kind === 'send' && ctx.routeTimes.takeProbe(route);
  }

  /** Picks a server if its answer can be expected in time. */
  function pickIfAdmitted(
    req: CallerRequest,
    server: PooledServer,
    candidate: ServerCandidate,
    fullReason: string,
  ): ServerPick {
    const { cfg } = req.route;
    const routeMs = ctx.routeTimes.routeServiceMs(cfg.name, candidate.serviceMs);
    const answerMs = expectedAnswerMs(candidate, routeMs);
    const input = {
      expectedMs: answerMs,
      remainingMs: req.answerBy - ctx.now(),
      objectiveMs: cfg.objectiveMs,
      serviceMs: routeMs,
      priority: cfg.priority,
      urgentObjectiveMs: ctx.demand.urgentObjectiveMs(req.service, cfg.priority),
    };
    const admission = admit(input);
    if (admission.kind === 'send' || isProbe(input, candidate, cfg.name))
      return {
        kind: 'server',
        server,
        serviceTimes: expectedServiceTimes(candidate),
        serviceMs: candidate.serviceMs,
        hasPermit: false,
      };
    const { limitMs, cause } = admissionLimit(input);
    const decidedBy = {
      server: candidate.id,
      expectedMs: Math.round(answerMs),
      inHand: Math.round(candidate.inFlight * 10) / 10,
      routeMs: Math.round(routeMs),
      serviceMs: Math.round(candidate.serviceMs),
      limitMs: Math.round(limitMs),
      limitedBy: cause,
    };
    const { retryAfterMs } = admission;
    return { kind: 'refuse', reason: fullReason, retryAfterMs, decidedBy };
  }

  /**
   * Returns whether the placement gives a key no owner soon that may receive the request: its owner
   * is outside the allowed regions, or no server of the service is eligible.
   */
  function staysIneligible(req: CallerRequest, owner: PooledServer | undefined): boolean {
    const { cfg } = req.route;
    if (eligibility.isUnrestricted(cfg)) return false;
    const isOutside =
      owner && !eligibility.isEvacuated(owner.entry) && !eligibility.isEligible(owner.entry, cfg);
    return isOutside === true || lacksEligibleServer(req);
  }

  /** Waits for an owner of the key that holds a grant and can be reached. */
  async function findOwner(
    req: CallerRequest,
    key: number,
    misdirectedTo: string | undefined,
  ): Promise<PooledServer | undefined> {
    let isOutdated = misdirectedTo !== undefined;
    const waitUntil = ctx.now() + req.route.cfg.objectiveMs * RANGE_WAIT_SHARE;
    const { epoch } = ctx.view();
    for (;;) {
      const view = ctx.view();
      const range = rangeOf(view, req.service, key);
      // A new leader may have granted the range to the same server again.
      const isChanged = range?.owner !== misdirectedTo || view.epoch !== epoch;
      if (isChanged || range?.granted === false) isOutdated = false;
      const server = range?.granted === true ? pool.get(range.owner ?? '') : undefined;
      const isUsable =
        server &&
        ctx.now() >= server.unreachableUntil &&
        !isPastNotice(server) &&
        eligibility.isEligible(server.entry, req.route.cfg);
      if (isUsable && !isOutdated) return server;
      if (ctx.ownersUnknownForMs() > 0 || staysIneligible(req, server)) return undefined;
      const waitMs = Math.min(waitUntil, req.answerBy) - ctx.now();
      if (waitMs <= 0 || req.disconnectSignal.aborted) return undefined;
      await ctx.waitForPlacement(Math.min(waitMs, RANGE_POLL_INTERVAL_MS));
    }
  }

  /** Creates the refusal of a request beyond the limits of all servers that could take it. */
  function refuseLimited(req: CallerRequest, servers: readonly PooledServer[]): Refusal {
    const [first] = servers;
    return {
      kind: 'refuse',
      reason: 'servers take no more requests for now',
      retryAfterMs: permits.retryAfterMs(servers, req.route.cfg.priority),
      decidedBy: {
        server: first?.entry.id ?? '',
        limitPerS: (first && permits.limitOf(first)) ?? 0,
      },
    };
  }

  function refuseUnowned(req: CallerRequest, key: number): Refusal {
    const owner = pool.get(rangeOf(ctx.view(), req.service, key)?.owner ?? '');
    if (staysIneligible(req, owner)) return refuseIneligible(ctx.random);
    const unknownForMs = ctx.ownersUnknownForMs();
    if (unknownForMs === 0) return refuse('no owner of the key');
    return { kind: 'refuse', reason: 'owners of keys are not known', retryAfterMs: unknownForMs };
  }

  const describe = (server: PooledServer) =>
    candidateOf(server, ctx.distanceTo(server.entry.availabilityZone), ctx.now());

  /**
   * Whether a server of a subset should not be used while others may be better: its answer is
   * expected late, or it fails requests.
   */
  function isPoor(candidate: ServerCandidate, objectiveMs: number): boolean {
    if (candidate.failureRate >= FAILING_RATE) return true;
    const isQueued = expectedServiceTimes(candidate) >= LATE_SERVICE_TIMES;
    return isQueued && expectedMs(candidate) > objectiveMs * LATE_SHARE;
  }

  /** Picks the server with the lowest expected cost, if its answer can be expected in time. */
  function pickBest(req: CallerRequest, servers: readonly PooledServer[]): ServerPick {
    const candidates = servers.map(describe);
    const { objectiveMs } = req.route.cfg;
    const candidate = chooseServer(candidates, { objectiveMs, random: ctx.random });
    const server = candidate && pool.get(candidate.id);
    if (!server) return refuse('no backend server');
    return pickIfAdmitted(req, server, candidate, 'servers are full');
  }

  /**
   * Picks a cold server for which this router holds a permit. A request that other servers can take
   * does not wait for a call to the leader.
   */
  function pickCold(
    req: CallerRequest,
    best: PooledServer,
    servers: readonly PooledServer[],
  ): ServerPick | undefined {
    const others = servers
      .filter((it) => it !== best && permits.isCold(it))
      .map((server) => ({
        server,
        // Equal servers are asked for in random order, so that routers don't all want the same.
        rank: ctx.distanceTo(server.entry.availabilityZone) + ctx.random() * ORDER_JITTER,
      }))
      .sort((a, b) => a.rank - b.rank)
      .map((it) => it.server);
    const { priority } = req.route.cfg;
    const server = permits.takeHeld({ name: req.service, priority, servers: [best, ...others] });
    return server && pickWithPermit(server);
  }

  function pickWithPermit(server: PooledServer): PickedServer {
    const candidate = describe(server);
    const serviceTimes = expectedServiceTimes(candidate);
    return {
      kind: 'server',
      server,
      serviceTimes,
      serviceMs: candidate.serviceMs,
      hasPermit: true,
    };
  }

  /** Picks a server, and another one if the best one has a rate limit and there is no permit. */
  async function pickAmong(
    req: CallerRequest,
    servers: readonly PooledServer[],
  ): Promise<ServerPick> {
    const best = pickBest(req, servers);
    if (best.kind === 'refuse' || !isLimited(best.server)) return best;
    const unlimited = servers.filter((it) => !isLimited(it));
    if (unlimited.length > 0 && permits.isCold(best.server))
      return pickCold(req, best.server, servers) ?? pickBest(req, unlimited);
    const others = servers.filter((it) => isLimited(it) && it !== best.server);
    // Only without servers that need no permit is it worth asking for those that are less good.
    const wanted = unlimited.length > 0 ? [best.server] : [best.server, ...others];
    const server = await permits.acquire(wanted, req.route.cfg.priority);
    if (server) return pickWithPermit(server);
    return unlimited.length > 0 ? pickBest(req, unlimited) : refuseLimited(req, wanted);
  }

  /** Picks within a subset; `undefined` if it has no server that should take the request. */
  async function pickWithin(
    req: CallerRequest,
    subset: readonly PooledServer[],
    tried: readonly string[],
  ): Promise<PickedServer | undefined> {
    const now = ctx.now();
    const { objectiveMs } = req.route.cfg;
    const isUsable = (server: PooledServer) =>
      !tried.includes(server.entry.id) &&
      !isBackingOff(server, now) &&
      now >= server.avoidUntil &&
      !isPoor(describe(server), objectiveMs);
    const usable = subset.filter(isUsable);
    if (usable.length === 0) return undefined;
    const pick = await pickAmong(req, usable);
    return pick.kind === 'server' ? pick : undefined;
  }

  /** Chance that a request is refused where a share of all is admitted. */
  function refusalChanceOf(req: CallerRequest, admittedShare: number): number {
    const { objectiveMs, priority } = req.route.cfg;
    return refusalChance({
      refusedShare: 1 - admittedShare,
      remainingMs: req.answerBy - ctx.now(),
      objectiveMs,
      hasMoreUrgent: ctx.demand.urgentObjectiveMs(req.service, priority) < Infinity,
    });
  }

  return {
    async pickAny(req, tried) {
      const { cfg } = req.route;
      const subset = ctx.subsets?.draw(req.service, pool.ofService(req.service), (server) =>
        eligibility.isEligible(server, cfg),
      );
      if (subset) {
        const pick = await pickWithin(req, subset, tried);
        if (pick) return pick;
        ctx.subsets?.noteWidened(req.service);
      }
      const now = ctx.now();
      const eligible = serversFor(req);
      if (eligible.length === 0 && lacksEligibleServer(req)) return refuseIneligible(ctx.random);
      const servers = eligible.filter((it) => !tried.includes(it.entry.id));
      const available = servers.filter((it) => !isBackingOff(it, now));
      if (servers.length > 0 && available.length === 0)
        return refuseBackingOff(servers, ctx.now(), ctx.random);
      const preferred = available.filter((it) => now >= it.avoidUntil);
      const usable = preferred.length > 0 ? preferred : available;
      return pickAmong(req, usable);
    },
    async pickOwner(req, key, misdirectedTo) {
      const server = await findOwner(req, key, misdirectedTo);
      if (!server) return refuseUnowned(req, key);
      if (isBackingOff(server, ctx.now())) return refuseBackingOff([server], ctx.now(), ctx.random);
      const share = ctx.admittedShare(server.entry.id);
      if (misdirectedTo === undefined && ctx.random() < refusalChanceOf(req, share))
        return refuseOverload(server, share);
      const candidate = candidateOf(server, 0, ctx.now());
      const pick = pickIfAdmitted(req, server, candidate, 'the owner is full');
      if (pick.kind === 'refuse' || !isLimited(server)) return pick;
      const permitted = await permits.acquire([server], req.route.cfg.priority);
      return permitted ? { ...pick, hasPermit: true } : refuseLimited(req, [server]);
    },
  };
}
