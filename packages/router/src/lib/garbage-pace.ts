import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const MEBIBYTE = 1 << 20;
/**
 * Bytes of short-lived buffers after which the young generation is collected. V8 counts their
 * contents only from 64 MiB on, more than a small instance has to spare.
 */
const MINOR_AFTER_BYTES = MEBIBYTE;
/** Bytes of larger buffers that are no longer used, after which the whole heap is collected. */
const MAJOR_AFTER_BYTES = 8 * MEBIBYTE;
/** The same for large responses on instances that leave other garbage to V8. */
const RESPONSE_LIMITS: PaceLimits = {
  minorAfterBytes: 8 * MEBIBYTE,
  majorAfterBytes: 32 * MEBIBYTE,
};

/**
 * Memory of an instance below which garbage is collected by a pace, in MB. Larger ones have room for
 * what V8 leaves between its own collections, and a pace costs processor time.
 */
const PACED_BELOW_MB = 200;

/** Returns whether an instance of this memory in MB is too small for V8's own collections. */
const needsGarbagePace = (instanceMb: number): boolean => instanceMb < PACED_BELOW_MB;

/** Collects garbage of one generation. */
export type CollectGarbage = (generation: 'young' | 'all') => void;

/** Bounds the memory of buffers that are no longer used, by bytes instead of by objects. */
export interface GarbagePace {
  /** Notes bytes of input that were read, whose buffers are used for a short time. */
  noteRead(bytes: number): void;
  /** Notes bytes of buffers that were held for some time and are not any more. */
  noteReleased(bytes: number): void;
}

/** Bytes after which garbage is collected. */
export interface PaceLimits {
  /** Bytes read after which the young generation is collected. */
  readonly minorAfterBytes: number;
  /** Bytes released after which the whole heap is collected. */
  readonly majorAfterBytes: number;
}

const SMALL_INSTANCE_LIMITS: PaceLimits = {
  minorAfterBytes: MINOR_AFTER_BYTES,
  majorAfterBytes: MAJOR_AFTER_BYTES,
};

/** Creates a pace with nothing noted. */
export function createGarbagePace(
  collect: CollectGarbage,
  { minorAfterBytes, majorAfterBytes } = SMALL_INSTANCE_LIMITS,
): GarbagePace {
  let readBytes = 0;
  let releasedBytes = 0;
  return {
    noteRead(bytes) {
      readBytes += bytes;
      if (readBytes < minorAfterBytes) return;
      readBytes = 0;
      collect('young');
    },
    noteReleased(bytes) {
      releasedBytes += bytes;
      if (releasedBytes < majorAfterBytes) return;
      releasedBytes = 0;
      readBytes = 0;
      collect('all');
    },
  };
}

/** Pace of a process that leaves all to V8. */
export const NO_PACE: GarbagePace = { noteRead: () => undefined, noteReleased: () => undefined };

/** Returns a function that collects garbage of this process at once. */
function createCollector(): CollectGarbage {
  // The flag is read while the program runs.
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as (options?: { type: 'minor' }) => void;
  setFlagsFromString('--no-expose-gc');
  return (generation) => {
    if (generation === 'young') gc({ type: 'minor' });
    else gc();
  };
}

/** The paces of a process. */
export interface GarbagePaces {
  /** For what is read from and held for clients. */
  readonly clients: GarbagePace;
  /** For large responses of backend servers, whose bytes may never end. */
  readonly responses: GarbagePace;
}

/**
 * Prepares this process for an instance of this memory in MB. On a small one, V8 keeps the young
 * generation at the size that it has, and all garbage is collected by one pace.
 */
export function paceGarbage(instanceMb: number): GarbagePaces {
  const collect = createCollector();
  const isPaced = needsGarbagePace(instanceMb);
  // This flag is read while the program runs; others that limit the heap are read at its start only.
  setFlagsFromString(`--semi-space-growth-factor=${isPaced ? 1 : 2}`);
  if (!isPaced) return { clients: NO_PACE, responses: createGarbagePace(collect, RESPONSE_LIMITS) };
  const pace = createGarbagePace(collect);
  return { clients: pace, responses: pace };
}
