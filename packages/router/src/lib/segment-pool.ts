import type { GarbagePace } from './garbage-pace.js';

/** Size of a segment, in bytes. */
export const SEGMENT_BYTES = 64 * 1_024;
/** Most free segments that are kept, which is 8 MiB. */
const MAX_FREE_SEGMENTS = 128;

/** Buffers of one size that are used again. */
export interface SegmentPool {
  take(): Buffer;
  /** Gives a segment back, to which nothing may refer any more. */
  release(segment: Buffer): void;
}

/**
 * Creates a pool. V8 frees buffers only after many more of them than a small instance has room for,
 * so that those of aborted answers are used again at once.
 */
export function createSegmentPool(pace: GarbagePace): SegmentPool {
  const free: Buffer[] = [];
  return {
    take: () => free.pop() ?? Buffer.allocUnsafeSlow(SEGMENT_BYTES),
    release(segment) {
      if (free.length < MAX_FREE_SEGMENTS) free.push(segment);
      else pace.noteReleased(segment.length);
    },
  };
}
