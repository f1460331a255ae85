import type { Clock } from './clock.js';

/** Options of a {@link RetryBudget}. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Retries allowed for each first attempt; 0.1 by default. */
  readonly ratio?: number;
  /** Returns a random number from 0 to below 1; `Math.random` by default. */
  readonly random?: () => number;
}

/** Limits retries to a share of the requests. */
export interface RetryBudget {
  /** Counts a first attempt. */
  recordRequest(): void;
  /**
   * Requests one retry. Returns the delay before it in milliseconds, or `undefined` if the budget
   * is spent or the retry could not finish before the deadline.
   */
  tryRetry(retry: RetryRequest): number | undefined;
}

/** A requested retry. */
export interface RetryRequest {
  /** Delay before the previous retry of this request in milliseconds; 0 for the first. */
  readonly previousDelayMs: number;
  /** Time on the clock by which the caller needs its answer, in milliseconds. */
  readonly deadlineAt: number;
  /** Expected latency of the retry in milliseconds. */
  readonly expectedLatencyMs: number;
}

const DEFAULT_RATIO = 0.1;
/** Initial tokens, so that a router that has just started can retry. */
const INITIAL_TOKENS = 1;
/** Capacity of the token bucket. */
const MAX_TOKENS = 100;
const BASE_DELAY_MS = 5;
const MAX_DELAY_MS = 500;
/** Largest factor between a delay and the previous one. */
const DELAY_GROWTH = 3;

/**
 * Creates a retry budget: a token bucket that each first attempt fills by `ratio` (Beyer et al.,
 * "Site Reliability Engineering", 2016, chapter 21). Delays follow decorrelated jitter (Brooker,
 * "Exponential Backoff and Jitter", AWS Architecture Blog, 2015).
 */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, ratio = DEFAULT_RATIO, random = Math.random } = options;
  let tokens = INITIAL_TOKENS;

  function nextDelayMs(previousMs: number): number {
    const highest = Math.max(BASE_DELAY_MS, previousMs) * DELAY_GROWTH;
    return Math.min(MAX_DELAY_MS, BASE_DELAY_MS + random() * (highest - BASE_DELAY_MS));
  }

  return {
    recordRequest() {
      tokens = Math.min(MAX_TOKENS, tokens + ratio);
    },
    tryRetry({ previousDelayMs, deadlineAt, expectedLatencyMs }) {
      if (tokens < 1) return undefined;
      const delayMs = nextDelayMs(previousDelayMs);
      if (clock.now() + delayMs + expectedLatencyMs > deadlineAt) return undefined;
      tokens -= 1;
      return delayMs;
    },
  };
}
