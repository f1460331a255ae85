import type { Clock } from './clock.js';

/** Time in which the bound of a cold server rises from 1 to its whole share. */
const RAMP_DURATION_MS = 5_000;

/** Raises the bound of a server that started or failed lately linearly over time. @internal */
export class SlowStart {
  readonly #clock: Clock;
  #startedAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  begin(): void {
    this.#startedAt = this.#clock.now();
  }

  /** Largest limit now, for a share of connections. */
  maxLimit(share: number): number {
    const progress = (this.#clock.now() - this.#startedAt) / RAMP_DURATION_MS;
    return progress >= 1 ? share : 1 + (share - 1) * progress;
  }
}
