import type { Priority } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import type { Clock } from './clock.js';
import type { Permit } from './permit.js';
import { type RefusalKind, AdmissionRefusal } from './refusal.js';
import type { ServerLimiter, LimiterToken } from './server-limiter.js';
import { type WaitingRequest, PriorityQueue } from './priority-queue.js';

/** A request that asks for admission. */
export interface AdmissionRequest {
  /** Identity between which the queue is fair. */
  readonly caller: string;
  readonly priority: Priority;
  /** Time on the clock by which the caller needs its answer, in milliseconds. */
  readonly deadlineAt: number;
  /** Aborts when the caller cancels the request. */
  readonly signal?: AbortSignal | undefined;
}

/** State of an {@link AdmissionQueue}. */
export interface AdmissionQueueState {
  /** Number of waiting requests by priority. */
  readonly waiting: Readonly<Record<Priority, number>>;
}

/** Admission queue for one backend server. */
export interface AdmissionQueue extends Disposable {
  /**
   * Resolves to a permit once the request may be sent, or to a refusal. A refused request was not
   * run.
   */
  admit(req: AdmissionRequest): Promise<Result<Permit, AdmissionRefusal>>;
  /** Admits waiting requests after the limit has been raised, for example by `setLiveRouters`. */
  dispatch(): void;
  state(): AdmissionQueueState;
}

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly limiter: ServerLimiter;
  /** Maximum number of waiting requests; 1,024 by default. */
  readonly maxWaiting?: number;
}

const DEFAULT_MAX_WAITING = 1_024;
/** Minimum interval between two checks for expired requests. */
const MIN_TIMER_MS = 1;
/** Safety factor on the expected wait when a request is checked against its deadline on arrival. */
const WAIT_MARGIN = 1.2;
/**
 * Expected time until the next in-flight request ends, as a share of the mean interval at which
 * in-flight requests end.
 */
const RESIDUAL_SERVICE_SHARE = 0.5;

/**
 * Creates a bounded queue for one backend server. Requests are ordered by priority, then in turn
 * between callers, then by deadline. A request that can't finish before its deadline is refused on
 * arrival, or as soon as that is certain while it waits. When the queue is full, a request of the
 * caller with the most waiting requests is refused.
 */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, limiter, maxWaiting = DEFAULT_MAX_WAITING } = options;
  const backlog = new PriorityQueue();
  let timer: Disposable | undefined;
  let timerAt = Infinity;
  let closed = false;

  function createPermit(token: LimiterToken): Permit {
    return {
      release(outcome) {
        token.release(outcome);
        dispatch();
      },
      [Symbol.dispose]() {
        token.release();
        dispatch();
      },
    };
  }

  function dispatch(): void {
    while (backlog.size > 0) {
      const token = limiter.tryAcquire(!backlog.isFirst('high'));
      if (!token) break;
      sendNext(token);
    }
    if (backlog.size === 0) return;
    const { retryInMs } = limiter.state();
    if (retryInMs > 0) wakeAt(clock.now() + retryInMs);
  }

  /** Admits the next request, or refuses it if it can no longer meet its deadline. */
  function sendNext(token: LimiterToken): void {
    const next = backlog.pop();
    if (next && next.expiresAt > clock.now()) {
      next.settle(ok(createPermit(token)));
      return;
    }
    token.release();
    if (next) refuse(next, 'expired');
  }

  function refuse(waiting: WaitingRequest, kind: RefusalKind): void {
    const { waitMs } = estimate(waiting.caller, waiting.priority);
    waiting.settle(err(new AdmissionRefusal(kind, Math.ceil(Math.max(1, waitMs)))));
  }

  /** Schedules the timer for a time, unless it is already due earlier. */
  function wakeAt(at: number): void {
    if (at >= timerAt || closed) return;
    timer?.[Symbol.dispose]();
    timerAt = at;
    timer = clock.schedule(Math.max(MIN_TIMER_MS, at - clock.now()), onTimer);
  }

  function onTimer(): void {
    timerAt = Infinity;
    for (const expired of backlog.takeExpired(clock.now())) refuse(expired, 'expired');
    dispatch();
    wakeAt(backlog.nextExpiryAt());
  }

  /** Estimates the wait of a new request until it is sent, and its latency from then on. */
  function estimate(caller: string, priority: Priority) {
    const state = limiter.state();
    const { limit, latencyMs, baselineMs, highLatencyMs, inFlight, retryInMs } = state;
    const hasCapacity = priority === 'high' ? state.isFreeForUrgent : state.isFree;
    const isFree = hasCapacity && backlog.isFirst(priority);
    const ahead = backlog.aheadOf(caller, priority) + RESIDUAL_SERVICE_SHARE;
    const waitMs = retryInMs + (isFree ? 0 : (ahead * latencyMs) / limit);
    return { waitMs, highLatencyMs: isFree ? baselineMs : highLatencyMs, inFlight, retryInMs };
  }

  /**
   * Returns a refusal for a request that can't finish in time. If nothing is in flight or waiting,
   * the request is admitted anyway, since only a new measurement can correct a wrong estimate.
   */
  function refusalOnArrival(req: AdmissionRequest): AdmissionRefusal | undefined {
    if (closed) return new AdmissionRefusal('closed');
    if (req.signal?.aborted) return new AdmissionRefusal('cancelled');
    const leftMs = req.deadlineAt - clock.now();
    if (leftMs <= 0) return new AdmissionRefusal('deadline-too-short');
    const { waitMs, highLatencyMs, inFlight, retryInMs } = estimate(req.caller, req.priority);
    const lateMs = waitMs * WAIT_MARGIN + highLatencyMs - leftMs;
    const isProbe = inFlight === 0 && backlog.size === 0 && retryInMs === 0;
    if (lateMs <= 0 || isProbe) return undefined;
    if (retryInMs > 0) return new AdmissionRefusal('circuit-open', Math.ceil(lateMs));
    if (waitMs === 0) return new AdmissionRefusal('deadline-too-short');
    return new AdmissionRefusal('overloaded', Math.ceil(lateMs));
  }

  /**
   * Evicts a request if the queue is full; returns false if the new one must be refused instead.
   */
  function makeRoom(req: AdmissionRequest): boolean {
    if (backlog.size < maxWaiting) return true;
    const evicted = backlog.evictionCandidate(req.caller, req.priority);
    if (!evicted) return false;
    backlog.remove(evicted);
    refuse(evicted, 'overloaded');
    return true;
  }

  function wait(req: AdmissionRequest): Promise<Result<Permit, AdmissionRefusal>> {
    return new Promise((resolve) => {
      const onAbort = () => {
        backlog.remove(waiting);
        waiting.settle(err(new AdmissionRefusal('cancelled')));
      };
      const waiting: WaitingRequest = {
        caller: req.caller,
        priority: req.priority,
        expiresAt: Math.max(clock.now(), req.deadlineAt - limiter.state().highLatencyMs),
        position: 0,
        settle(result) {
          req.signal?.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      req.signal?.addEventListener('abort', onAbort, { once: true });
      backlog.push(waiting);
      wakeAt(waiting.expiresAt);
      dispatch();
    });
  }

  return {
    async admit(req) {
      const refusal = refusalOnArrival(req);
      if (refusal) return err(refusal);
      const { priority } = req;
      const token = backlog.isFirst(priority) ? limiter.tryAcquire(priority === 'high') : undefined;
      if (token) return ok(createPermit(token));
      if (makeRoom(req)) return wait(req);
      const { waitMs } = estimate(req.caller, req.priority);
      return err(new AdmissionRefusal('overloaded', Math.ceil(Math.max(1, waitMs))));
    },
    dispatch,
    state: () => ({ waiting: backlog.counts() }),
    [Symbol.dispose]() {
      closed = true;
      timer?.[Symbol.dispose]();
      for (const waiting of backlog.takeExpired(Infinity)) {
        waiting.settle(err(new AdmissionRefusal('closed')));
      }
    },
  };
}
