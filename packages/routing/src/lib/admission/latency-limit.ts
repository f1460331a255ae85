import { LatencyWindow } from './latency-window.js';
import { RuleBaselines } from './rule-baselines.js';

/** A limit is revised after this time, once there are enough samples. */
const MIN_WINDOW_MS = 100;
const MIN_SAMPLES = 10;
/** A window with few samples is closed after this time nevertheless. */
const MAX_WINDOW_MS = 1_000;
/** Latency may grow by this factor over the baseline before the limit falls. */
const TOLERANCE = 1.5;
/** Growth that may come from timers and busy event loops, in milliseconds. */
const LATENCY_NOISE_MS = 0.5;
/** Largest fall of the limit in one window, as a factor. */
const MIN_GRADIENT = 0.5;
/** Requests that each router lets wait at the server, to notice free capacity. */
const HEADROOM = 0.5;
/** Weight of a window's proposal against the limit in force. */
const SMOOTHING = 0.4;
/** Factor by which a refusal lowers the limit; at most once in a window. */
const REFUSAL_FACTOR = 0.7;
/** Weight of a window's mean deviation against the one known. */
const DEVIATION_SMOOTHING = 0.25;

/** A request as the limit sees it. @internal */
export interface LatencySample {
  readonly latencyMs: number;
  /** Rule of the request; requests of one rule cost about the same. */
  readonly rule: string;
  /** Requests of this router in flight to the server when it ended. */
  readonly inFlight: number;
  /** Requests that ran or waited at the server, if it said so. */
  readonly serverLoad: number | undefined;
  readonly now: number;
}

/**
 * Adaptive concurrency limit from measured latency, after the gradient algorithm of Netflix's
 * concurrency-limits ("Performance Under Load", 2018): the limit follows the ratio of an unloaded
 * baseline latency to the latency measured now. It differs in two points: the headroom is half
 * a request in place of the square root of the limit, since a dozen routers share two slots, and
 * each rule has a baseline of its own, since kinds of requests differ in cost.
 * While the latency has never risen, the limit doubles in each window (slow start, RFC 5681).
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
  #slowStart = true;

  /** @param slots Requests that the server works on at the same time. */
  constructor(initial: number, slots: number, now: number) {
    this.#limit = initial;
    this.#baselines = new RuleBaselines(slots, now);
    this.#window = new LatencyWindow(now, undefined);
  }

  /** Limit in force, a fraction of at least 1. */
  get limit(): number {
    return this.#limit;
  }

  /** Mean latency of the last window in milliseconds, or `undefined` before the first. */
  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Latency that the requests of the last window would have had without load, in milliseconds. */
  get baselineMs(): number | undefined {
    return this.#baselineMs;
  }

  /** Mean deviation of the latency in milliseconds. */
  get deviationMs(): number {
    return this.#deviationMs;
  }

  /** Starts again from a limit, and grows by doubling. */
  restart(limit: number): void {
    this.#limit = limit;
    this.#slowStart = true;
  }

  /** Takes a measured request; `max` is the most that the limit may become. */
  sample(sample: LatencySample, max: number): void {
    const { now, latencyMs, inFlight } = sample;
    const baselineMs = this.#baselines.learn(sample);
    this.#window.add(latencyMs, baselineMs, inFlight);
    const ageMs = now - this.#window.startedAt;
    const isFull = ageMs >= MIN_WINDOW_MS && this.#window.samples >= MIN_SAMPLES;
    if (isFull || ageMs >= MAX_WINDOW_MS) this.#closeWindow(now, max);
  }

  /** Lowers the limit after a refusal. */
  recordRefusal(): void {
    if (this.#refused) return;
    this.#refused = true;
    this.#slowStart = false;
    this.#limit = Math.max(1, this.#limit * REFUSAL_FACTOR);
  }

  /** Keeps the limit within a maximum that fell. */
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
    const isUsed = window.meanInFlight >= this.#limit / 2;
    const toleratedMs = TOLERANCE * window.meanBaselineMs + LATENCY_NOISE_MS;
    const ratio = toleratedMs / Math.max(window.meanMs, Number.EPSILON);
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    if (gradient < 1 || this.#refused) this.#slowStart = false;
    if (gradient === 1 && (!isUsed || this.#refused)) return;
    const proposal = this.#slowStart ? this.#limit * 2 : this.#limit * gradient + HEADROOM;
    const weight = this.#slowStart ? 1 : SMOOTHING;
    const revised = this.#limit + (proposal - this.#limit) * weight;
    this.#limit = Math.min(max, Math.max(1, revised));
  }
}
