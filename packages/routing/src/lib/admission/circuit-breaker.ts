import type { Clock } from './clock.js';
import { type OutcomeKind, isFailure } from './outcome.js';

/** State of a circuit breaker: `closed` admits requests, `open` none, `half-open` one at a time. */
export type CircuitState = 'closed' | 'open' | 'half-open';

/**
 * Consecutive failures that open the circuit; fewer if the server also reports itself unhealthy.
 */
const MAX_CONSECUTIVE_FAILURES = 5;
const MAX_CONSECUTIVE_FAILURES_WHEN_UNHEALTHY = 2;
/** Consecutive refusals that open the circuit. */
const MAX_CONSECUTIVE_REFUSALS = 10;
/** Share of failures among recent requests that opens the circuit. */
const MAX_FAILURE_SHARE = 0.5;
/** Minimum number of recent requests for which the share of failures is evaluated. */
const MIN_REQUESTS = 20;
/** Half-life of the counts of recent requests and failures. */
const HALF_LIFE_MS = 5_000;
/** Time for which the circuit stays open; doubled after each failed probe. */
const INITIAL_OPEN_MS = 200;
const MAX_OPEN_MS = 5_000;
/** Share by which the open time varies at random, so that routers don't probe all at once. */
const JITTER = 0.25;
/** Consecutive successful probes that close the circuit. */
const PROBES_TO_CLOSE = 3;

/** Options of a {@link CircuitBreaker}. @internal */
export interface CircuitBreakerOptions {
  readonly clock: Clock;
  /** Returns a random number from 0 to below 1. */
  readonly random: () => number;
  /** Called each time the circuit closes. */
  readonly onClose: () => void;
}

/**
 * Circuit breaker on measured outcomes (Nygard, "Release It!", 2007). A health report alone never
 * opens or closes it; an unhealthy one only lowers the number of failures that open it.
 * @internal
 */
export class CircuitBreaker {
  readonly #options: CircuitBreakerOptions;
  #state: CircuitState = 'closed';
  #retryAt = 0;
  #openMs = INITIAL_OPEN_MS;
  #consecutiveFailures = 0;
  #consecutiveRefusals = 0;
  #probesPassed = 0;
  #requests = 0;
  #failures = 0;
  #countedAt: number;
  #reportsUnhealthy = false;
  #generation = 0;

  constructor(options: CircuitBreakerOptions) {
    this.#options = options;
    this.#countedAt = options.clock.now();
  }

  /** Current state. */
  get state(): CircuitState {
    if (this.#state === 'open' && this.#options.clock.now() >= this.#retryAt) {
      this.#state = 'half-open';
      this.#probesPassed = 0;
    }
    return this.#state;
  }

  /** Milliseconds until the next probe is admitted; 0 unless open. */
  get retryInMs(): number {
    if (this.state !== 'open') return 0;
    return this.#retryAt - this.#options.clock.now();
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureShare(): number {
    return this.#requests === 0 ? 0 : this.#failures / this.#requests;
  }

  /** Records the health that the server reports. */
  reportHealth(healthy: boolean): void {
    this.#reportsUnhealthy = !healthy;
  }

  /** Number that increases each time the circuit opens or closes. */
  get generation(): number {
    return this.#generation;
  }

  /** Records the outcome of a request; ignored if the request started in an earlier generation. */
  record(kind: OutcomeKind, generation: number): void {
    if (generation !== this.#generation) return;
    const failed = isFailure(kind);
    this.#count(failed);
    this.#consecutiveRefusals = kind === 'refused' ? this.#consecutiveRefusals + 1 : 0;
    if (kind !== 'refused') this.#consecutiveFailures = failed ? this.#consecutiveFailures + 1 : 0;
    switch (this.state) {
      case 'closed':
        if (this.#shouldOpen()) this.#open();
        break;
      case 'half-open':
        this.#recordProbe(kind);
        break;
      case 'open':
        break;
    }
  }

  #recordProbe(kind: OutcomeKind): void {
    if (kind !== 'ok') {
      this.#openMs = Math.min(MAX_OPEN_MS, this.#openMs * 2);
      this.#open();
      return;
    }
    this.#probesPassed += 1;
    if (this.#probesPassed >= PROBES_TO_CLOSE) this.#close();
  }

  #shouldOpen(): boolean {
    const maxConsecutive = this.#reportsUnhealthy
      ? MAX_CONSECUTIVE_FAILURES_WHEN_UNHEALTHY
      : MAX_CONSECUTIVE_FAILURES;
    if (this.#consecutiveFailures >= maxConsecutive) return true;
    if (this.#consecutiveRefusals >= MAX_CONSECUTIVE_REFUSALS) return true;
    return this.#requests >= MIN_REQUESTS && this.failureShare >= MAX_FAILURE_SHARE;
  }

  #open(): void {
    const jitter = 1 + JITTER * (2 * this.#options.random() - 1);
    this.#state = 'open';
    this.#generation += 1;
    this.#retryAt = this.#options.clock.now() + this.#openMs * jitter;
  }

  #close(): void {
    this.#state = 'closed';
    this.#generation += 1;
    this.#openMs = INITIAL_OPEN_MS;
    this.#consecutiveFailures = 0;
    this.#consecutiveRefusals = 0;
    this.#requests = 0;
    this.#failures = 0;
    this.#options.onClose();
  }

  #count(failed: boolean): void {
    const now = this.#options.clock.now();
    const decay = 0.5 ** ((now - this.#countedAt) / HALF_LIFE_MS);
    this.#countedAt = now;
    this.#requests = this.#requests * decay + 1;
    this.#failures = this.#failures * decay + (failed ? 1 : 0);
  }
}
