/** Number of samples in one mean; with fewer, random variation would dominate. */
const SAMPLES_PER_MEAN = 50;
/**
 * Largest initial baseline over the minimum latency, in case the first requests met an overload.
 */
const MAX_INITIAL_FACTOR = 3;
/** Weight of a mean without load that is below `NOISE_FACTOR` times the baseline. */
const IDLE_WEIGHT = 0.2;
/** Weight of a mean below the baseline that was measured under load or unknown load. */
const DECREASE_WEIGHT = 0.05;
/** A mean without load that is below this multiple of the baseline counts as random variation. */
const NOISE_FACTOR = 1.25;
/** Time constants of the rise towards higher means, measured without and under load. */
const IDLE_RISE_TIME_CONSTANT_MS = 60_000;
const LOADED_RISE_TIME_CONSTANT_MS = 300_000;

/** Mean latency of several requests. */
class SampleMean {
  #sumMs = 0;
  #samples = 0;

  add(latencyMs: number): void {
    this.#sumMs += latencyMs;
    this.#samples += 1;
  }

  get isFull(): boolean {
    return this.#samples >= SAMPLES_PER_MEAN;
  }

  get meanMs(): number {
    return this.#sumMs / this.#samples;
  }
}

/**
 * Latency of a server without load. It is measured by requests that the server answered while it
 * reported a free slot. Other requests can lower it, but raise it only slowly, so that an overload
 * does not become the baseline. A server that always reports a free slot raises it slowly as well.
 * @internal
 */
export class LatencyBaseline {
  readonly #slots: number;
  #valueMs: number | undefined;
  #minMs = Infinity;
  readonly #initial = new SampleMean();
  #idle = new SampleMean();
  #loaded = new SampleMean();
  #idleAt: number;
  #loadedAt: number;

  /** @param slots Number of requests that the server runs in parallel. */
  constructor(slots: number, now: number) {
    this.#slots = slots;
    this.#idleAt = now;
    this.#loadedAt = now;
  }

  /** Baseline in milliseconds, or `undefined` before the first sample. */
  get valueMs(): number | undefined {
    return this.#valueMs;
  }

  /** True once the baseline is based on a full mean. */
  get isSettled(): boolean {
    return this.#initial.isFull;
  }

  /** Adds a latency, with the number of requests running or waiting at the server if known. */
  add(latencyMs: number, serverLoad: number | undefined, now: number): void {
    if (!this.#initial.isFull) {
      this.#learnInitial(latencyMs, serverLoad ?? 0);
    } else if (serverLoad !== undefined && serverLoad <= this.#slots) {
      this.#learnIdle(latencyMs, now);
    } else {
      this.#learnLoaded(latencyMs, now);
    }
  }

  /** Updates the initial mean, subtracting the waiting time that the server's load implies. */
  #learnInitial(latencyMs: number, serverLoad: number): void {
    this.#minMs = Math.min(this.#minMs, latencyMs);
    const waitingFactor = Math.max(1, serverLoad / this.#slots);
    this.#initial.add(this.#minMs + (latencyMs - this.#minMs) / waitingFactor);
    this.#valueMs = Math.min(this.#initial.meanMs, this.#minMs * MAX_INITIAL_FACTOR);
  }

  #learnIdle(latencyMs: number, now: number): void {
    this.#idle.add(latencyMs);
    if (!this.#idle.isFull) return;
    const rise = riseWeight(now - this.#idleAt, IDLE_RISE_TIME_CONSTANT_MS);
    const isNoise = this.#idle.meanMs < (this.#valueMs ?? 0) * NOISE_FACTOR;
    this.#moveTowards(this.#idle.meanMs, isNoise ? IDLE_WEIGHT : rise);
    this.#idle = new SampleMean();
    this.#idleAt = now;
  }

  #learnLoaded(latencyMs: number, now: number): void {
    this.#loaded.add(latencyMs);
    if (!this.#loaded.isFull) return;
    const rise = riseWeight(now - this.#loadedAt, LOADED_RISE_TIME_CONSTANT_MS);
    const isLower = this.#loaded.meanMs < (this.#valueMs ?? 0);
    this.#moveTowards(this.#loaded.meanMs, isLower ? DECREASE_WEIGHT : rise);
    this.#loaded = new SampleMean();
    this.#loadedAt = now;
  }

  #moveTowards(meanMs: number, weight: number): void {
    const valueMs = this.#valueMs ?? meanMs;
    this.#valueMs = valueMs + (meanMs - valueMs) * weight;
  }
}

function riseWeight(passedMs: number, timeConstantMs: number): number {
  return 1 - Math.exp(-passedMs / timeConstantMs);
}
