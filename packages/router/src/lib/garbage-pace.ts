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

/**
 * Memory of an instance below which garbage is collected by a pace, in MB. Larger ones have room for
 * what V8 leaves between its own collections, and a pace costs processor time.
 */
const PACED_BELOW_MB = 200;

/** Returns whether an instance of this memory in MB is too small for V8's own collections. */
export const needsGarbagePace = (instanceMb: number): boolean => instanceMb < PACED_BELOW_MB;

/** Collects garbage of one generation. */
export type CollectGarbage = (generation: 'young' | 'all') => void;

/** Bounds the memory of buffers that are no longer used, by bytes instead of by objects. */
export interface GarbagePace {
  /** Notes bytes of input that were read, whose buffers are used for a short time. */
  noteRead(bytes: number): void;
  /** Notes bytes of buffers that were held for some time and are not any more. */
  noteReleased(bytes: number): void;
}

/** Creates a pace with nothing noted. */
export function createGarbagePace(collect: CollectGarbage): GarbagePace {
  let readBytes = 0;
  let releasedBytes = 0;
  return {
    noteRead(bytes) {
      readBytes += bytes;
      if (readBytes < MINOR_AFTER_BYTES) return;
      readBytes = 0;
      collect('young');
    },
    noteReleased(bytes) {
      releasedBytes += bytes;
      if (releasedBytes < MAJOR_AFTER_BYTES) return;
      releasedBytes = 0;
      readBytes = 0;
      collect('all');
    },
  };
}

/** Pace of a process that leaves all to V8. */
export const NO_PACE: GarbagePace = { noteRead: () => undefined, noteReleased: () => undefined };

/** Lets the young generation grow as usual in this process. */
export function leaveGarbage(): GarbagePace {
  setFlagsFromString('--semi-space-growth-factor=2');
  return NO_PACE;
}

/**
 * Prepares this process for a small instance: V8 keeps the young generation at the size that it has,
 * and garbage is collected by the pace.
 */
export function paceGarbage(): GarbagePace {
  // Both flags are read while the program runs; others that limit the heap are read at its start only.
  setFlagsFromString('--semi-space-growth-factor=1');
  setFlagsFromString('--expose-gc');
  const gc = runInNewContext('gc') as (options?: { type: 'minor' }) => void;
  setFlagsFromString('--no-expose-gc');
  return createGarbagePace((generation) => {
    if (generation === 'young') gc({ type: 'minor' });
    else gc();
  });
}
