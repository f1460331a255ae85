import type { Clock } from './clock.js';
import { type OutcomeKind, isFailure } from './outcome.js';

/** State of a circuit breaker: `open` lets nothing pass, `half-open` one probe at a time. */
export type CircuitState = 'closed' | 'open' | 'half-open';

/** Failures in a row that open the circuit; fewer are enough if the server also reports ill health. */
const MAX_CONSECUTIVE_FAILURES = 5;
const MAX_CONSECUTIVE_FAILURES_WHEN_UNHEALTHY = 2;
const MAX_CONSECUTIVE_REFUSALS = 10;
/** Share of failures that opens the circuit, over at least this many recent requests. */
const MAX_FAILURE_SHARE = 0.5;
const MIN_REQUESTS = 20;
/** Half-life of the counts of recent requests and failures. */
const HALF_LIFE_MS = 5_000;
/** Time that the circuit stays open, doubled each time a probe fails. */
const INITIAL_OPEN_MS = 200;
const MAX_OPEN_MS = 5_000;
/** Share by which the time is shortened or extended at random, so that routers don't probe at once. */
const JITTER = 0.25;
const PROBES_TO_CLOSE = 3;

/** What a circuit breaker needs. @internal */
export interface CircuitBreakerOptions {
  readonly clock: Clock;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
  /** Called each time the circuit closes again. */
  readonly onClose: () => void;
}

/**
 * Circuit breaker on measured outcomes (Nygard, "Release It!", 2007). A health report alone never
 * opens or closes it; ill health only lowers the number of failures that it takes.
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

  /** State now. */
  get state(): CircuitState {
    if (this.#state === 'open' && this.#options.clock.now() >= this.#retryAt) {
      this.#state = 'half-open';
      this.#probesPassed = 0;
    }
    return this.#state;
  }

  /** Milliseconds until the next probe may pass; 0 unless open. */
  get retryInMs(): number {
    if (this.state !== 'open') return 0;
    return this.#retryAt - this.#options.clock.now();
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureShare(): number {
    return this.#requests === 0 ? 0 : this.#failures / this.#requests;
  }

  /** Takes what the server says of its health. */
  reportHealth(healthy: boolean): void {
    this.#reportsUnhealthy = !healthy;
  }

  /** Rises each time the circuit opens or closes. */
  get generation(): number {
    return this.#generation;
  }

  /** Takes the outcome of a request that began in a generation; later ones ignore it. */
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
