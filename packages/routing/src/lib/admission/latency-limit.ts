import { LatencyBaseline } from './latency-baseline.js';

/** A limit is revised after this time, once there are enough samples. */
const WINDOW_MS = 100;
const MIN_SAMPLES = 10;
/** A window with few samples is closed after this time nevertheless. */
const MAX_WINDOW_MS = 1_000;
/** Latency may grow by this factor over the baseline before the limit falls. */
const TOLERANCE = 1.5;
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
 * the baseline is a slow minimum of window means, since kinds of requests differ in cost.
 * While the latency has never risen, the limit doubles in each window (slow start, RFC 5681).
 * @internal
 */
export class LatencyLimit {
  #limit: number;
  #latencyMs: number | undefined;
  #deviationMs = 0;
  readonly #baseline: LatencyBaseline;
  #windowStart: number;
  #samples = 0;
  #sumMs = 0;
  #sumDeviationsMs = 0;
  #sumInFlight = 0;
  #refused = false;
  #slowStart = true;

  /** @param slots Requests that the server works on at the same time. */
  constructor(initial: number, slots: number, now: number) {
    this.#limit = initial;
    this.#baseline = new LatencyBaseline(slots, now);
    this.#windowStart = now;
  }

  /** Limit in force, a fraction of at least 1. */
  get limit(): number {
    return this.#limit;
  }

  /** Mean latency of the last window in milliseconds, or `undefined` before the first. */
  get latencyMs(): number | undefined {
    return this.#latencyMs;
  }

  /** Latency without load in milliseconds, or `undefined` before the first window. */
  get baselineMs(): number | undefined {
    return this.#baseline.valueMs;
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
    const { latencyMs, inFlight, serverLoad, now } = sample;
    this.#baseline.add(latencyMs, serverLoad, now);
    this.#samples += 1;
    this.#sumMs += latencyMs;
    this.#sumDeviationsMs += Math.abs(latencyMs - (this.#latencyMs ?? latencyMs));
    this.#sumInFlight += inFlight;
    const age = now - this.#windowStart;
    const isFull = age >= WINDOW_MS && this.#samples >= MIN_SAMPLES;
    if (isFull || age >= MAX_WINDOW_MS) this.#closeWindow(now, max);
  }

  /** Lowers the limit after a refusal. */
  refuse(): void {
    if (this.#refused) return;
    this.#refused = true;
    this.#slowStart = false;
    this.#limit = Math.max(1, this.#limit * REFUSAL_FACTOR);
  }

  /** Keeps the limit within a maximum that fell. */
  bound(max: number): void {
    this.#limit = Math.min(this.#limit, max);
  }

  #closeWindow(now: number, max: number): void {
    const meanMs = this.#sumMs / this.#samples;
    const isUsed = this.#sumInFlight / this.#samples >= this.#limit / 2;
    this.#latencyMs = meanMs;
    const deviationMs = this.#sumDeviationsMs / this.#samples;
    this.#deviationMs += (deviationMs - this.#deviationMs) * DEVIATION_SMOOTHING;
    this.#revise(meanMs, isUsed, max);
    this.#windowStart = now;
    this.#samples = 0;
    this.#sumMs = 0;
    this.#sumDeviationsMs = 0;
    this.#sumInFlight = 0;
    this.#refused = false;
  }

  #revise(meanMs: number, isUsed: boolean, max: number): void {
    const ratio =
      (TOLERANCE * (this.#baseline.valueMs ?? meanMs)) / Math.max(meanMs, Number.EPSILON);
    const gradient = Math.min(1, Math.max(MIN_GRADIENT, ratio));
    if (gradient < 1 || this.#refused) this.#slowStart = false;
    if (gradient === 1 && (!isUsed || this.#refused)) return;
    const proposal = this.#slowStart ? this.#limit * 2 : this.#limit * gradient + HEADROOM;
    const weight = this.#slowStart ? 1 : SMOOTHING;
    const revised = this.#limit + (proposal - this.#limit) * weight;
    this.#limit = Math.min(max, Math.max(1, revised));
  }
}
