import { CircuitBreaker, type CircuitState } from './circuit-breaker.js';
import type { Clock } from './clock.js';
import { connectionShare } from './connection-share.js';
import { LatencyLimit } from './latency-limit.js';
import type { Outcome } from './outcome.js';
import { SlowStart } from './slow-start.js';

/** Options of a {@link ServerLimiter}. */
export interface ServerLimiterOptions {
  readonly clock: Clock;
  /** Connections that all routers together may open to the server. */
  readonly connections: number;
  /** Requests that the server works on at the same time; 2 unless given. */
  readonly slots?: number;
  /** Routers that share the connections, this one included. */
  readonly liveRouters: number;
  /** True when the server has just started; work is then given gradually. */
  readonly cold?: boolean;
  /** Returns a number from 0 to below 1; `Math.random` unless given. */
  readonly random?: () => number;
}

/** What a limiter knows about its server. */
export interface ServerLimiterState {
  /** Requests that may be in flight now; at least 1, and at most `share`. */
  readonly limit: number;
  readonly inFlight: number;
  /** True when a request may be sent at once, and the same for an urgent one. */
  readonly isFree: boolean;
  readonly isFreeForUrgent: boolean;
  /** This router's share of the server's connections. */
  readonly share: number;
  readonly circuit: CircuitState;
  /** Milliseconds until an open circuit lets a probe pass; 0 unless open. */
  readonly retryInMs: number;
  /** Mean latency measured lately, in milliseconds; a guess before the first request. */
  readonly latencyMs: number;
  /** Latency that few requests exceed: the mean and twice the mean deviation, in milliseconds. */
  readonly highLatencyMs: number;
  /** Mean latency without load, in milliseconds; a guess before the first request. */
  readonly baselineMs: number;
  /** Share of recent requests that failed, from 0 to 1. */
  readonly failureShare: number;
}

/** A place in flight to a backend server. */
export interface LimiterToken {
  /** Gives the place back, once; without an outcome nothing is learnt from it. */
  release(outcome?: Outcome): void;
}

/** Limits the requests that one router has in flight to one backend server. */
export interface ServerLimiter {
  /**
   * Takes a place in flight; `undefined` when the limit is reached or the circuit open. One urgent
   * request at a time may exceed the limit by one, within the share of connections.
   */
  tryAcquire(isUrgent?: boolean): LimiterToken | undefined;
  /** Adjusts this router's share as routers come and go. */
  setLiveRouters(liveRouters: number): void;
  /** Takes the server's health report; it weighs less than measured outcomes. */
  reportHealth(healthy: boolean): void;
  /** Current state. */
  state(): ServerLimiterState;
}

const DEFAULT_SLOTS = 2;
/** Latency assumed before the first measurement. */
const ASSUMED_LATENCY_MS = 10;
/** Limit of a server that is not cold, before the first measurement. */
const INITIAL_LIMIT = 4;
/** A timeout tells of the server only if it had this many times its usual latency to answer. */
const CONCLUSIVE_TIMEOUT_FACTOR = 4;
/** Mean deviations above the mean that few latencies exceed. */
const HIGH_LATENCY_DEVIATIONS = 2;

/**
 * Creates a limiter for one backend server as one router sees it. The limit adapts to measured
 * latency and refusals, stays within the router's share of connections, rises gradually
 * after a cold start or a failure, and a circuit breaker stops requests to a server that fails.
 */
export function createServerLimiter(options: ServerLimiterOptions): ServerLimiter {
  const { clock, slots = DEFAULT_SLOTS, random = Math.random } = options;
  const { connections } = options;
  let { liveRouters } = options;
  let inFlight = 0;
  let urgent = 0;
  const latencyLimit = new LatencyLimit(INITIAL_LIMIT, slots, clock.now());
  const slowStart = new SlowStart(clock);
  const breaker = new CircuitBreaker({ clock, random, onClose: beginSlowStart });
  if (options.cold) beginSlowStart();

  function beginSlowStart(): void {
    latencyLimit.restart(1);
    slowStart.begin();
  }

  function share(): number {
    return connectionShare(connections, liveRouters);
  }

  function limit(): number {
    if (breaker.state !== 'closed') return 1;
    const max = slowStart.maxLimit(share());
    return Math.max(1, Math.floor(Math.min(latencyLimit.limit, max)));
  }

  function isFree(): boolean {
    return breaker.state !== 'open' && inFlight < limit();
  }

  function isFreeForUrgent(): boolean {
    const max = Math.min(limit() + 1, share());
    return isFree() || (breaker.state === 'closed' && urgent === 0 && inFlight < max);
  }

  function meanLatencyMs(): number {
    return latencyLimit.latencyMs ?? ASSUMED_LATENCY_MS;
  }

  function recordOutcome(outcome: Outcome, generation: number): void {
    const { latencyMs, serverLoad, rule = '' } = outcome;
    const isConclusive = latencyMs >= meanLatencyMs() * CONCLUSIVE_TIMEOUT_FACTOR;
    if (outcome.kind === 'timeout' && !isConclusive) return;
    breaker.record(outcome.kind, generation);
    switch (outcome.kind) {
      case 'ok':
      case 'timeout':
        latencyLimit.sample({ latencyMs, rule, serverLoad, inFlight, now: clock.now() }, share());
        break;
      case 'refused':
      case 'connection-lost':
        latencyLimit.recordRefusal();
        break;
      case 'error':
        break;
    }
  }

  function createToken(isUrgent: boolean): LimiterToken {
    const generation = breaker.generation;
    let released = false;
    return {
      release(outcome) {
        if (released) return;
        released = true;
        if (outcome) recordOutcome(outcome, generation);
        inFlight -= 1;
        if (isUrgent) urgent -= 1;
      },
    };
  }

  return {
    tryAcquire(isUrgent = false) {
      if (!(isUrgent ? isFreeForUrgent() : isFree())) return undefined;
      inFlight += 1;
      if (isUrgent) urgent += 1;
      return createToken(isUrgent);
    },
    setLiveRouters(count) {
      liveRouters = count;
      latencyLimit.clampTo(share());
    },
    reportHealth(healthy) {
      breaker.reportHealth(healthy);
    },
    state: () => ({
      limit: limit(),
      inFlight,
      isFree: isFree(),
      isFreeForUrgent: isFreeForUrgent(),
      share: share(),
      circuit: breaker.state,
      retryInMs: breaker.retryInMs,
      latencyMs: meanLatencyMs(),
      highLatencyMs: meanLatencyMs() + HIGH_LATENCY_DEVIATIONS * latencyLimit.deviationMs,
      baselineMs: latencyLimit.baselineMs ?? ASSUMED_LATENCY_MS,
      failureShare: breaker.failureShare,
    }),
  };
}
