/** Means over the requests of one time window. @internal */
export class LatencyWindow {
  readonly startedAt: number;
  readonly #expectedMs: number | undefined;
  #samples = 0;
  #sumMs = 0;
  #sumBaselinesMs = 0;
  #sumDeviationsMs = 0;
  #sumInFlight = 0;

  /** @param expectedMs Mean latency that deviations are measured from. */
  constructor(startedAt: number, expectedMs: number | undefined) {
    this.startedAt = startedAt;
    this.#expectedMs = expectedMs;
  }

  add(latencyMs: number, baselineMs: number, inFlight: number): void {
    this.#samples += 1;
    this.#sumMs += latencyMs;
    this.#sumBaselinesMs += baselineMs;
    this.#sumDeviationsMs += Math.abs(latencyMs - (this.#expectedMs ?? latencyMs));
    this.#sumInFlight += inFlight;
  }

  get samples(): number {
    return this.#samples;
  }

  get meanMs(): number {
    return this.#sumMs / this.#samples;
  }

  get meanBaselineMs(): number {
    return this.#sumBaselinesMs / this.#samples;
  }

  get meanDeviationMs(): number {
    return this.#sumDeviationsMs / this.#samples;
  }

  get meanInFlight(): number {
    return this.#sumInFlight / this.#samples;
  }
}
