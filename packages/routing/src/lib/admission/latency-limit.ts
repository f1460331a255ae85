import type { LatencySample } from './latency-sample.js';
import { LatencyWindow } from './latency-window.js';
import { RuleBaselines } from './rule-baselines.js';

/** The limit is revised once a window has this length and number of samples. */
const MIN_WINDOW_MS = 100;
const MIN_SAMPLES = 10;
/** A window is closed after this time even if it has fewer samples. */
const MAX_WINDOW_MS = 1_000;
/** Factor by which latency may exceed the baseline before the limit is lowered. */
const TOLERANCE = 1.5;
/** Increase of latency that timers and busy event loops may cause, in milliseconds. */
const LATENCY_NOISE_MS = 0.5;
/** Smallest factor on the limit in one window. */
const MIN_GRADIENT = 0.5;
/** Requests that each router keeps waiting at the server, to detect free capacity. */
const HEADROOM = 0.5;
/** Weight of a window's proposed limit against the current limit. */
const SMOOTHING = 0.4;
/** Factor by which a refusal lowers the limit; at most once in a window. */
const REFUSAL_FACTOR = 0.7;
/** Weight of a window's mean deviation against the current value. */
const DEVIATION_SMOOTHING = 0.25;

/**
 * Adaptive concurrency limit from measured latency, after the gradient algorithm of Netflix's
 * concurrency-limits ("Performance Under Load", 2018): the limit follows the ratio of an unloaded
 * baseline latency to the current latency. It differs in two points: the headroom is half a request
 * instead of the square root of the limit, since a dozen routers share two slots, and each rule has
 * its own baseline, since rules differ in cost. Until the latency first rises, the limit doubles in
 * each window, as in the slow start of TCP (RFC 5681).
 * @internal
 */
export class LatencyLimit {
  readonly #baselines: RuleBaselines;
  #limit: number;
  #window: LatencyWindow;
  #latencyMs: number | undefined;
  #baselineMs: number | undefined;
  #deviationMs = 0;
  #refused = false;
  #isDoubling = true;

  /** @param slots Number of requests that the server runs in parallel. */
  constructor(initial: number, slots: number, now: number) {
    this.#limit = initial;
    this.#baselines = new RuleBaselines(slots, now);
    this.#window = new LatencyWindow(now, undefined);
  }

  /** Current limit; a fractional number of at least 1. */
  get limit(): number {
    return this.#limit;
  }

  /** Mean latency of the last window in milliseconds; `undefined` before the first. */
  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Mean latency that the last window's requests would have had without load, in milliseconds. */
  get baselineMs(): number | undefined {
    return this.#baselineMs;
  }

  /** Mean deviation of the latency in milliseconds. */
  get deviationMs(): number {
    return this.#deviationMs;
  }

  /** Sets the limit, which then doubles in each window until the latency rises. */
  restart(limit: number): void {
    this.#limit = limit;
    this.#isDoubling = true;
  }

  /** Adds a measured request; `max` is the upper bound of the limit. */
  sample(sample: LatencySample, max: number): void {
    const { now, latencyMs, inFlight } = sample;
    const baselineMs = this.#baselines.learn(sample);
    this.#window.add(latencyMs, baselineMs, inFlight);
    const ageMs = now - this.#window.startedAt;
    const isFull = ageMs >= MIN_WINDOW_MS && this.#window.samples >= MIN_SAMPLES;
    if (isFull || ageMs >= MAX_WINDOW_MS) this.#closeWindow(now, max);
  }

  /** Lowers the limit after a refusal, at most once in a window. */
  recordRefusal(): void {
    if (this.#refused) return;
    this.#refused = true;
    this.#isDoubling = false;
    this.#limit = Math.max(1, this.#limit * REFUSAL_FACTOR);
  }

  /** Lowers the limit to a maximum. */
  clampTo(max: number): void {
    this.#limit = Math.min(this.#limit, max);
  }

  #closeWindow(now: number, max: number): void {
    const window = this.#window;
    this.#latencyMs = window.meanMs;
    this.#baselineMs = window.meanBaselineMs;
    this.#deviationMs += (window.meanDeviationMs - this.#deviationMs) * DEVIATION_SMOOTHING;
    this.#revise(window, max);
    this.#window = new LatencyWindow(now, window.meanMs);
    this.#refused = false;
  }

  #revise(window: LatencyWindow, max: number): void {
    const isLimitUsed = window.meanInFlight >= this.#limit / 2;
    const toleratedMs = TOLERANCE * window.meanBaselineMs + LATENCY_NOISE_MS;
    const ratio = toleratedMs / Math.max(window.meanMs, Number.EPSILON);
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    if (gradient < 1 || this.#refused) this.#isDoubling = false;
    if (gradient === 1 && (!isLimitUsed || this.#refused)) return;
    const proposal = this.#isDoubling ? this.#limit * 2 : this.#limit * gradient + HEADROOM;
    const weight = this.#isDoubling ? 1 : SMOOTHING;
    const revised = this.#limit + (proposal - this.#limit) * weight;
    this.#limit = Math.min(max, Math.max(1, revised));
  }
}
