import { CircuitBreaker, type CircuitState } from './circuit-breaker.js';
import type { Clock } from './clock.js';
import { connectionShare } from './connection-share.js';
import { LatencyLimit } from './latency-limit.js';
import type { Outcome } from './outcome.js';
import { SlowStart } from './slow-start.js';

/** Options of a {@link ServerLimiter}. */
export interface ServerLimiterOptions {
  readonly clock: Clock;
  /** Number of connections that all routers together may open to the server. */
  readonly connections: number;
  /** Number of requests that the server runs in parallel; 2 by default. */
  readonly slots?: number;
  /** Number of routers that share the connections, including this one. */
  readonly liveRouters: number;
  /** True if the server has just started; its limit is then raised gradually. */
  readonly cold?: boolean;
  /** Returns a random number from 0 to below 1; `Math.random` by default. */
  readonly random?: () => number;
}

/** State of a {@link ServerLimiter}. */
export interface ServerLimiterState {
  /** Requests that may be in flight now; at least 1, and at most `share`. */
  readonly limit: number;
  readonly inFlight: number;
  /** True if a request may be sent immediately. */
  readonly isFree: boolean;
  /** True if an urgent request may be sent immediately. */
  readonly isFreeForUrgent: boolean;
  /** This router's share of the server's connections. */
  readonly share: number;
  readonly circuit: CircuitState;
  /** Milliseconds until an open circuit admits a probe; 0 unless open. */
  readonly retryInMs: number;
  /** Recent mean latency in milliseconds; an assumed value before the first measurement. */
  readonly latencyMs: number;
  /** Latency that few requests exceed: the mean plus twice the mean deviation, in milliseconds. */
  readonly highLatencyMs: number;
  /** Mean latency without load in milliseconds; an assumed value before the first measurement. */
  readonly baselineMs: number;
  /** Share of recent requests that failed, from 0 to 1. */
  readonly failureShare: number;
}

/** Permission for one in-flight request to a backend server. */
export interface LimiterToken {
  /** Releases the token and records the outcome, if given. Later calls have no effect. */
  release(outcome?: Outcome): void;
}

/** Limits the requests that one router has in flight to one backend server. */
export interface ServerLimiter {
  /**
   * Returns a token, or `undefined` if the limit is reached or the circuit is open. One urgent
   * request (of priority `high`) at a time may exceed the limit by one, within the share of
   * connections.
   */
  tryAcquire(isUrgent?: boolean): LimiterToken | undefined;
  /** Adjusts this router's share to the number of live routers. */
  setLiveRouters(liveRouters: number): void;
  /** Records the health that the server reports; measured outcomes take precedence. */
  reportHealth(healthy: boolean): void;
  /** Current state. */
  state(): ServerLimiterState;
}

const DEFAULT_SLOTS = 2;
/** Latency assumed before the first measurement. */
const ASSUMED_LATENCY_MS = 10;
/** Initial limit of a server that is not cold. */
const INITIAL_LIMIT = 4;
/** A timeout counts against the server only if it lasted this many times the mean latency. */
const CONCLUSIVE_TIMEOUT_FACTOR = 4;
/** Number of mean deviations above the mean that few latencies exceed. */
const HIGH_LATENCY_DEVIATIONS = 2;

/**
 * Creates a limiter for the requests of one router to one backend server. The limit adapts to
 * measured latency and refusals, stays within the router's share of connections and rises gradually
 * after a cold start or a failure. A circuit breaker stops requests to a failing server.
 */
export function createServerLimiter(options: ServerLimiterOptions): ServerLimiter {
  const { clock, slots = DEFAULT_SLOTS, random = Math.random } = options;
  const { connections } = options;
  let { liveRouters } = options;
  let inFlight = 0;
  let urgentInFlight = 0;
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
    return isFree() || (breaker.state === 'closed' && urgentInFlight === 0 && inFlight < max);
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
        if (isUrgent) urgentInFlight -= 1;
      },
    };
  }

  return {
    tryAcquire(isUrgent = false) {
      if (!(isUrgent ? isFreeForUrgent() : isFree())) return undefined;
      inFlight += 1;
      if (isUrgent) urgentInFlight += 1;
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
