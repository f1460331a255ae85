import type { IncarnationId, ServerLimits } from '@boragepoint/placement';

import { reportedServiceTimes } from './choose-server.js';
import type { GuardedRun } from './crash-guard.js';
import { HTTP_SERVER_ERROR } from './request-outcome.js';
import type { RouteTimes } from './route-times.js';
import type { RouterLog } from './router-log.js';
import type { RouterMetrics } from './router-metrics.js';
import type { SendOutcome, ServerAnswer } from './send-request.js';
import { cancelUnsent, noteAccepted, startBackoff } from './server-backoff.js';
import { type PooledServer, incarnationOf, isWarmingUp } from './server-pool.js';

/** Time for which a server is avoided while others can take its requests, in milliseconds. */
const AVOID_MS = 1_000;
/**
 * Time for which an owner of keys gets no requests after a connection to it failed, in
 * milliseconds.
 */
const UNREACHABLE_MS = 250;
/**
 * Waiting requests per slot from which idle connections are closed: a server accepts fewer
 * connections while its queue is long.
 */
const LONG_QUEUE_SLOTS = 2;
const HTTP_MISDIRECTED = 421;
/** Outcomes that say nothing about a server's health. */
const HEALTH_NEUTRAL_REASONS: readonly string[] = ['cancelled', 'misdirected', 'paused'];

/** Dependencies of the observer. */
export interface ServerObserverContext {
  readonly log: RouterLog;
  readonly limits: ServerLimits;
  /** Tells the other routers of a limit that has changed. */
  shareLimits(): void;
  /** Notes that an incarnation of a server is leaving; returns false if that was known before. */
  noteLeaving(incarnation: IncarnationId): boolean;
  readonly routeTimes: RouteTimes;
  readonly metrics: Pick<RouterMetrics, 'recordAnnouncement'>;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** Circumstances of one send. */
export interface SendTimes {
  /** When the request was sent, on the monotonic clock. */
  readonly startedAt: number;
  /** Number of service times that an answer was expected to take, with those of the queue. */
  readonly serviceTimes: number;
  /** Service time of the server that the pick was based on, in milliseconds. */
  readonly serviceMs: number;
}

/** Learns from the outcomes of sends how servers are and what they say of themselves. */
export interface ServerObserver {
  /** Updates the load, health, latency and availability of the server of a run. */
  noteOutcome(run: GuardedRun, outcome: SendOutcome, times: SendTimes): void;
}

/** Creates an observer. */
export function createServerObserver(ctx: ServerObserverContext): ServerObserver {
  const { log } = ctx;

  /** Notes the limit that an answer names, or that it names none. */
  function noteLimit(server: PooledServer, { status, meta }: ServerAnswer): void {
    // Another process at the address of a server that has ended answers so, and without a limit.
    const mayBeAnotherServer = status === HTTP_MISDIRECTED;
    if (meta.limitPerS === 'unreadable') return;
    if (mayBeAnotherServer && meta.limitPerS === undefined) return;
    const incarnation = incarnationOf(server);
    const before = ctx.limits.limitOf(incarnation);
    const change = ctx.limits.observe(incarnation, meta.limitPerS);
    if (change === 'none') return;
    const { server: id } = incarnation;
    log.info('server limit changed', { server: id, change, perS: meta.limitPerS, before });
    if (meta.limitPerS !== undefined) cancelUnsent(server);
    ctx.shareLimits();
  }

  /**
   * Applies the signals in a server's answer: that it is leaving, asks for a back-off, or names a
   * limit.
   */
  function applyServerSignals(server: PooledServer, answer: ServerAnswer, now: number): void {
    const { meta } = answer;
    const { id, startedMs } = server.entry;
    noteLimit(server, answer);
    if (meta.leaving && ctx.noteLeaving({ server: id, startedMs })) {
      log.info('server announced that it is leaving', { server: id });
      ctx.metrics.recordAnnouncement(server.entry.service, 'leaving');
    }
    if (meta.backoffMs !== undefined) {
      startBackoff(server, meta.backoffMs, now);
      ctx.metrics.recordAnnouncement(server.entry.service, 'back-off');
      const forMs = Math.round(server.backoffUntil - now);
      log.info('server asked for back-off', {
        server: id,
        askedMs: Math.round(meta.backoffMs),
        forMs,
      });
    } else if (!meta.notRun) {
      noteAccepted(server);
    }
  }

  /** Updates the server's load, health and availability from an outcome. */
  function noteAvailability(server: PooledServer, outcome: SendOutcome, startedAt: number): void {
    const now = ctx.now();
    const { load } = server;
    const answer = outcome.kind === 'unknown' ? undefined : outcome.answer;
    if (answer) server.lastAnsweredAt = now;
    if (answer) applyServerSignals(server, answer, now);
    const asksForBackoff = answer?.meta.backoffMs !== undefined;
    if (outcome.kind === 'answer') {
      const isFailure = outcome.answer.status >= HTTP_SERVER_ERROR;
      load.recordDone(startedAt, asksForBackoff ? undefined : isFailure);
    } else if (asksForBackoff || HEALTH_NEUTRAL_REASONS.includes(outcome.why)) {
      load.recordDone(startedAt);
    } else {
      load.recordDone(startedAt, true);
    }
    if (answer?.meta.load) {
      load.recordReport(now, answer.meta.load);
      const { waiting, slots } = answer.meta.load;
      if (waiting >= slots * LONG_QUEUE_SLOTS) server.connections.closeExtra();
    }
    const isUnreached =
      outcome.kind === 'not-run' && (outcome.why === 'refused' || outcome.why === 'unconnected');
    if (isUnreached) {
      server.avoidUntil = now + AVOID_MS;
      server.unreachableUntil = now + UNREACHABLE_MS;
    }
    if (outcome.kind === 'unknown' && outcome.why === 'broken-off')
      server.connections.replacePools();
  }

  /** Records the latency of an answer; for a cancelled request it is only a lower bound. */
  function noteLatency(
    { req, server: { load } }: GuardedRun,
    outcome: SendOutcome,
    { serviceTimes, serviceMs }: SendTimes,
    latencyMs: number,
  ): void {
    const isCancelled = outcome.kind === 'unknown' && outcome.why === 'cancelled';
    const isLongerThanExpected = isCancelled && latencyMs > serviceTimes * load.serviceMs();
    const isAnswered = outcome.kind === 'answer' && outcome.answer.status < HTTP_SERVER_ERROR;
    const reported = isAnswered ? outcome.answer.meta.load : undefined;
    const reportedTimes = reported && reportedServiceTimes(reported);
    const explainedTimes = reportedTimes ?? serviceTimes;
    if (isAnswered)
      // Relative to the service time with which the ratio is applied again, which may not be the mean of
      // the server's answers.
      ctx.routeTimes.record(req.route.cfg.name, latencyMs, explainedTimes, serviceMs);
    if (isAnswered || isLongerThanExpected)
      load.recordLatency(serviceTimes, latencyMs, reportedTimes);
  }

  /** Avoids a server for a while that let a request time out and answered no other since. */
  function noteTimeout({ req, server }: GuardedRun, outcome: SendOutcome, startedAt: number): void {
    const isTimeout =
      outcome.kind === 'unknown' && outcome.why === 'cancelled' && !req.disconnectSignal.aborted;
    if (isTimeout && server.lastAnsweredAt < startedAt) server.avoidUntil = ctx.now() + AVOID_MS;
  }

  return {
    noteOutcome(run, outcome, times) {
      const { startedAt } = times;
      const { server } = run;
      noteAvailability(server, outcome, startedAt);
      // Latencies during warm-up do not predict those of a warm server.
      if (!isWarmingUp(server, startedAt)) noteLatency(run, outcome, times, ctx.now() - startedAt);
      noteTimeout(run, outcome, startedAt);
    },
  };
}
