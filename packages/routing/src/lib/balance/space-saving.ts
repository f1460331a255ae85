/** Entry of a {@link SpaceSaving} summary. @internal */
export interface HeavyHitter {
  readonly key: string;
  readonly shard: number;
  /** Upper bound of the true count. */
  readonly count: number;
  /** The true count is at least `count - error`. */
  readonly error: number;
}

/**
 * Counts the heaviest keys of a stream in bounded memory (Metwally, Agrawal and El Abbadi,
 * "Efficient Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005). With m
 * counters and a total count N, the error of a count is at most N / m, and every key with a count
 * above N / m is included.
 * @internal
 */
export class SpaceSaving {
  readonly #capacity: number;
  readonly #positions = new Map<string, number>();
  readonly #keys: string[] = [];
  readonly #shards: number[] = [];
  readonly #counts: Float64Array;
  readonly #errors: Float64Array;

  constructor(capacity: number) {
    this.#capacity = capacity;
    this.#counts = new Float64Array(capacity);
    this.#errors = new Float64Array(capacity);
  }

  add(key: string, shard: number, weight: number): void {
    const position = this.#positions.get(key) ?? this.#assignCounter(key, shard);
    this.#counts[position] = (this.#counts[position] ?? 0) + weight;
  }

  /** Multiplies all counts. */
  scale(factor: number): void {
    for (let i = 0; i < this.#keys.length; i += 1) {
      this.#counts[i] = (this.#counts[i] ?? 0) * factor;
      this.#errors[i] = (this.#errors[i] ?? 0) * factor;
    }
  }

  /** Returns the entries, heaviest first. */
  top(limit = this.#capacity): HeavyHitter[] {
    return this.#keys
      .map((key, i) => ({
        key,
        shard: this.#shards[i] ?? 0,
        count: this.#counts[i] ?? 0,
        error: this.#errors[i] ?? 0,
      }))
      .sort((a, b) => b.count - a.count)
      .slice(0, limit);
  }

  /** Assigns a counter to a new key: a free one, or the lightest, whose count becomes the error. */
  #assignCounter(key: string, shard: number): number {
    const position = this.#keys.length < this.#capacity ? this.#keys.length : this.#lightest();
    const replaced = this.#keys[position];
    if (replaced !== undefined) this.#positions.delete(replaced);
    this.#errors[position] = this.#counts[position] ?? 0;
    this.#keys[position] = key;
    this.#shards[position] = shard;
    this.#positions.set(key, position);
    return position;
  }

  #lightest(): number {
    let lightest = 0;
    for (let i = 1; i < this.#capacity; i += 1) {
      if ((this.#counts[i] ?? 0) < (this.#counts[lightest] ?? 0)) lightest = i;
    }
    return lightest;
  }
}
