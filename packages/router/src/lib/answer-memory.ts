import type { PartsRoom } from '@boragepoint/platform';

import { type ClientBudget, createClientBudget } from './client-budget.js';
import { type GarbagePace, NO_PACE } from './garbage-pace.js';
import { type SegmentPool, createSegmentPool } from './segment-pool.js';

const MEBIBYTE = 1 << 20;
/** Largest answer body that is passed on, in bytes. */
export const MAX_ANSWER_BYTES = 4 * MEBIBYTE;
/** Largest total size of the answers that are still arriving, over all requests, in bytes. */
const MAX_BUFFERED_BYTES = 16 * MEBIBYTE;

/** The room that one answer takes; disposing of it frees the room. */
export interface AnswerRoom extends PartsRoom, Disposable {
  /** Notes that a part of a large answer was copied, whose buffer is not used any more. */
  noteCopied(bytes: number): void;
}

/** Limits the memory that incomplete answers take. */
export interface AnswerMemory {
  /** Registers an answer; `abort` is called at most once, when the answer exceeds a limit. */
  begin(abort: () => void): AnswerRoom;
  /** Buffers of large answers. */
  readonly segments: SegmentPool;
}

/** Size up to which an answer is not in the way of what is held for clients, in bytes. */
const SMALL_ANSWER_BYTES = 64 * 1_024;

interface AnswerEntry {
  bytes: number;
  readonly abort: () => void;
}

/** Limits of the answers that are still arriving, and what they share with the process. */
export interface AnswerMemoryOptions {
  readonly maxAnswerBytes?: number;
  readonly maxBufferedBytes?: number;
  /** Budget of the process, of which the answers are a part. */
  readonly budget?: ClientBudget;
  readonly pace?: GarbagePace;
}

/**
 * Creates the accounting. When all answers together exceed their limit, or the budget is used up,
 * the largest answer is aborted, because answers that complete are small. One large answer alone
 * always has room.
 */
export function createAnswerMemory({
  maxAnswerBytes = MAX_ANSWER_BYTES,
  maxBufferedBytes = MAX_BUFFERED_BYTES,
  budget = createClientBudget(),
  pace = NO_PACE,
}: AnswerMemoryOptions = {}): AnswerMemory {
  const pending = new Set<AnswerEntry>();
  let totalBytes = 0;

  function setBytes(entry: AnswerEntry, bytes: number): void {
    totalBytes += bytes - entry.bytes;
    budget.add('responses', bytes - entry.bytes);
    entry.bytes = bytes;
  }

  function end(entry: AnswerEntry): void {
    if (pending.delete(entry)) setBytes(entry, 0);
  }

  function abortAnswer(entry: AnswerEntry): void {
    end(entry);
    entry.abort();
  }

  /** Whether an answer that grew leaves too little room, for answers or for all that is held. */
  function isOver({ bytes }: AnswerEntry): boolean {
    const isOverOwnLimit = totalBytes > Math.min(maxBufferedBytes, budget.limitOf('responses'));
    return isOverOwnLimit || (bytes > SMALL_ANSWER_BYTES && !budget.hasRoom('responses', 0));
  }

  /** The largest answer, unless it is alone. */
  function largestPending(): AnswerEntry | undefined {
    const [largest] = [...pending].sort((a, b) => b.bytes - a.bytes);
    const isAlone = largest?.bytes === totalBytes;
    return isAlone ? undefined : largest;
  }

  return {
    segments: createSegmentPool(pace),
    begin(callback) {
      const entry: AnswerEntry = { bytes: 0, abort: callback };
      pending.add(entry);
      return {
        grow(bytes) {
          if (!pending.has(entry)) return false;
          if (bytes <= entry.bytes) return true;
          setBytes(entry, bytes);
          if (entry.bytes > maxAnswerBytes) abortAnswer(entry);
          const toAbort = isOver(entry) ? largestPending() : undefined;
          if (toAbort) abortAnswer(toAbort);
          return pending.has(entry);
        },
        noteReplaced(replacedBytes) {
          pace.noteReleased(replacedBytes);
        },
        noteCopied(partBytes) {
          pace.noteRead(partBytes);
        },
        [Symbol.dispose]() {
          end(entry);
        },
      };
    },
  };
}
