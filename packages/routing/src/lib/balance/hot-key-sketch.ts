import type { Clock } from '../admission/index.js';
import { DecayScale } from './decay-scale.js';
import { SpaceSaving } from './space-saving.js';

/** Options of a {@link HotKeySketch}. */
export interface HotKeySketchOptions {
  readonly clock: Clock;
  /** Number of keys that are counted; 128 unless given. */
  readonly capacity?: number;
  /** Time in which an old count loses half its weight, in milliseconds; 5 s unless given. */
  readonly halfLifeMs?: number;
}

/** One finished request, as the sketch counts it. */
export interface WorkSample {
  /** Hash of the key in hexadecimal. */
  readonly keyHash: string;
  readonly shard: number;
  /** Work that the request caused at its backend server, in milliseconds of latency. */
  readonly workMs: number;
}

/** A key with its load. */
export interface KeyLoad {
  readonly keyHash: string;
  readonly shard: number;
  /** Work in milliseconds for each second; at most `error` above the true value. */
  readonly load: number;
  readonly error: number;
}

/** Work of a service as one router measured it, in milliseconds for each second. */
export interface SketchReading {
  readonly total: number;
  /** Load by shard; shards without load are left out. */
  readonly shards: ReadonlyMap<number, number>;
  /** Hottest keys first. */
  readonly keys: readonly KeyLoad[];
}

/** Finds the hot keys and shards of one service in bounded memory. */
export interface HotKeySketch {
  record(sample: WorkSample): void;
  read(): SketchReading;
}

const DEFAULT_CAPACITY = 128;
const DEFAULT_HALF_LIFE_MS = 5_000;
/** A shard whose load is below this is forgotten, in milliseconds of work for each second. */
const NEGLIGIBLE_LOAD = 0.001;

/**
 * Creates a sketch for one service. Keys are counted by space-saving with `capacity` counters: a
 * load is too high by at most the total load divided by `capacity`, and never too low. Shards are
 * counted exactly. All counts decay exponentially.
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

  function readShards(toRate: number): Map<number, number> {
    const loads = new Map<number, number>();
    for (const [shard, count] of shards) {
      const load = count * toRate;
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
      const toRate = scale.toRate();
      const heaviest = keys.top().map(({ key, shard, count, error }) => ({
        keyHash: key,
        shard,
        load: count * toRate,
        error: error * toRate,
      }));
      return { total: total * toRate, shards: readShards(toRate), keys: heaviest };
    },
  };
}
