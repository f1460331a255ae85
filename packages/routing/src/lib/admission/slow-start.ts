import type { Clock } from './clock.js';

/** Time in which the maximum limit of a cold server rises from 1 to its share of connections. */
const RAMP_DURATION_MS = 5_000;

/**
 * Raises the maximum limit linearly after a server has started or recovered. The limit itself also
 * starts low and doubles (`LatencyLimit`); the lower of the two applies.
 * @internal
 */
export class SlowStart {
  readonly #clock: Clock;
  #startedAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  begin(): void {
    this.#startedAt = this.#clock.now();
  }

  /** Returns the current maximum limit for a share of connections. */
  maxLimit(share: number): number {
    const progress = (this.#clock.now() - this.#startedAt) / RAMP_DURATION_MS;
    return progress >= 1 ? share : 1 + (share - 1) * progress;
  }
}
