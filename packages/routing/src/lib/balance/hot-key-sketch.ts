import type { Clock } from '../admission/index.js';
import { DecayScale } from './decay-scale.js';
import { SpaceSaving } from './space-saving.js';

/** Options of a {@link HotKeySketch}. */
export interface HotKeySketchOptions {
  readonly clock: Clock;
  /** Number of counted keys; 128 by default. */
  readonly capacity?: number;
  /** Half-life of the counts in milliseconds; 5 s by default. */
  readonly halfLifeMs?: number;
}

/** One finished request. */
export interface WorkSample {
  /** Hash of the key in hexadecimal. */
  readonly keyHash: string;
  readonly shard: number;
  /** Work that the request caused at its backend server, in milliseconds of latency. */
  readonly workMs: number;
}

/** Load of one key. */
export interface KeyLoad {
  readonly keyHash: string;
  readonly shard: number;
  /** Work in milliseconds per second; at most `error` above the true value. */
  readonly load: number;
  /** Largest possible error of `load`, in the same unit. */
  readonly error: number;
}

/** Work of one service as measured by one router, in milliseconds per second. */
export interface SketchReading {
  readonly total: number;
  /** Load by shard, without shards that have no load. */
  readonly shards: ReadonlyMap<number, number>;
  /** Keys with their loads, hottest first. */
  readonly keys: readonly KeyLoad[];
}

/** Measures the hot keys and shards of one service in bounded memory. */
export interface HotKeySketch {
  record(sample: WorkSample): void;
  read(): SketchReading;
}

const DEFAULT_CAPACITY = 128;
const DEFAULT_HALF_LIFE_MS = 5_000;
/** Load below which a shard is removed, in milliseconds of work per second. */
const NEGLIGIBLE_LOAD = 0.001;

/**
 * Creates a sketch for one service. Keys are counted by the space-saving algorithm with `capacity`
 * counters: the load of a key is overestimated by at most the total load divided by `capacity`, and
 * never underestimated. Shards are counted exactly. All counts decay exponentially.
 */
export function createHotKeySketch(options: HotKeySketchOptions): HotKeySketch {
  const { clock, capacity = DEFAULT_CAPACITY, halfLifeMs = DEFAULT_HALF_LIFE_MS } = options;
  const keys = new SpaceSaving(capacity);
  const shards = new Map<number, number>();
  const scale = new DecayScale(clock, halfLifeMs, rescale);
  let total = 0;

  function rescale(factor: number): void {
    total *= factor;
    keys.scale(factor);
    for (const [shard, count] of shards) shards.set(shard, count * factor);
  }

  function readShards(rateFactor: number): Map<number, number> {
    const loads = new Map<number, number>();
    for (const [shard, count] of shards) {
      const load = count * rateFactor;
      if (load < NEGLIGIBLE_LOAD) shards.delete(shard);
      else loads.set(shard, load);
    }
    return loads;
  }

  return {
    record({ keyHash, shard, workMs }) {
      const weight = workMs * scale.weight();
      total += weight;
      keys.add(keyHash, shard, weight);
      shards.set(shard, (shards.get(shard) ?? 0) + weight);
    },
    read() {
      const rateFactor = scale.rateFactor();
      const heaviest = keys.top().map(({ key, shard, count, error }) => ({
        keyHash: key,
        shard,
        load: count * rateFactor,
        error: error * rateFactor,
      }));
      return { total: total * rateFactor, shards: readShards(rateFactor), keys: heaviest };
    },
  };
}
