import type { Clock } from '../admission/index.js';

/** Scale above which all counts are scaled down, well before floating-point precision suffers. */
const MAX_SCALE = 2 ** 40;

/**
 * Exponential decay by growing weights (Cormode et al., "Forward Decay", ICDE 2009): the weight of
 * new events grows, instead of the counts of old ones shrinking, so that recording updates one
 * counter.
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

  /** Returns the weight of an event that is recorded now. */
  weight(): number {
    const scale = this.#scale();
    if (scale < MAX_SCALE) return scale;
    this.#origin = this.#clock.now();
    this.#rescale(1 / scale);
    return 1;
  }

  /** Returns the factor that converts a stored count to a rate per second. */
  rateFactor(): number {
    const MS_PER_SECOND = 1_000;
    return (Math.LN2 * MS_PER_SECOND) / this.#halfLifeMs / this.#scale();
  }

  #scale(): number {
    return 2 ** ((this.#clock.now() - this.#origin) / this.#halfLifeMs);
  }
}
