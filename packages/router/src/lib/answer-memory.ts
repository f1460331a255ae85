import type { PartsRoom } from './body-parts.js';
import { type SegmentPool, createSegmentPool } from './segment-pool.js';

const MEBIBYTE = 1 << 20;
/** Largest answer body that is passed on, in bytes. */
export const MAX_ANSWER_BYTES = 4 * MEBIBYTE;
/** Largest total size of the answers that are still arriving, over all requests, in bytes. */
const MAX_BUFFERED_BYTES = 16 * MEBIBYTE;

/** The room that one answer takes; disposing of it frees the room. */
export type AnswerRoom = PartsRoom & Disposable;

/** Limits the memory that incomplete answers take. */
export interface AnswerMemory {
  /** Registers an answer; `abort` is called at most once, when the answer exceeds a limit. */
  begin(abort: () => void): AnswerRoom;
  /** Buffers of large answers. */
  readonly segments: SegmentPool;
}

interface AnswerEntry {
  bytes: number;
  readonly abort: () => void;
}

/**
 * Creates the accounting. When the total exceeds its limit, the largest answer is aborted, because
 * answers that complete are small.
 */
export function createAnswerMemory(
  maxAnswerBytes = MAX_ANSWER_BYTES,
  maxBufferedBytes = MAX_BUFFERED_BYTES,
): AnswerMemory {
  const pending = new Set<AnswerEntry>();
  let totalBytes = 0;

  function end(entry: AnswerEntry): void {
    if (pending.delete(entry)) totalBytes -= entry.bytes;
  }

  function abortAnswer(entry: AnswerEntry): void {
    end(entry);
    entry.abort();
  }

  function largestPending(): AnswerEntry | undefined {
    return [...pending].sort((a, b) => b.bytes - a.bytes)[0];
  }

  return {
    segments: createSegmentPool(),
    begin(callback) {
      const entry: AnswerEntry = { bytes: 0, abort: callback };
      pending.add(entry);
      return {
        grow(bytes) {
          if (!pending.has(entry)) return false;
          if (bytes <= entry.bytes) return true;
          totalBytes += bytes - entry.bytes;
          entry.bytes = bytes;
          if (entry.bytes > maxAnswerBytes) abortAnswer(entry);
          const toAbort = totalBytes > maxBufferedBytes ? largestPending() : undefined;
          if (toAbort) abortAnswer(toAbort);
          return pending.has(entry);
        },
        noteReplaced: () => undefined,
        [Symbol.dispose]() {
          end(entry);
        },
      };
    },
  };
}
