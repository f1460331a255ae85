import type { Clock } from '../admission/index.js';

/** Weights are scaled down again above this, long before precision suffers. */
const MAX_SCALE = 2 ** 40;

/**
 * Exponential decay by growing weights: a new event weighs more in place of all old ones weighing less
 * (Cormode et al., "Forward Decay", ICDE 2009), so that recording touches one counter only.
 * @internal
 */
export class DecayScale {
  readonly #clock: Clock;
  readonly #halfLifeMs: number;
  readonly #rescale: (factor: number) => void;
  #origin: number;

  /** @param rescale Multiplies all stored counts by a factor. */
  constructor(clock: Clock, halfLifeMs: number, rescale: (factor: number) => void) {
    this.#clock = clock;
    this.#halfLifeMs = halfLifeMs;
    this.#rescale = rescale;
    this.#origin = clock.now();
  }

  /** Factor for a count that is recorded now. */
  weight(): number {
    const scale = this.#scale();
    if (scale < MAX_SCALE) return scale;
    this.#origin = this.#clock.now();
    this.#rescale(1 / scale);
    return 1;
  }

  /** Factor that turns a stored count into a rate for each second. */
  toRate(): number {
    const MS_PER_SECOND = 1_000;
    return (Math.LN2 * MS_PER_SECOND) / this.#halfLifeMs / this.#scale();
  }

  #scale(): number {
    return 2 ** ((this.#clock.now() - this.#origin) / this.#halfLifeMs);
  }
}
