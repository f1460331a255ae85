const MEBIBYTE = 1 << 20;
/** Largest answer body that is passed on, in bytes. */
export const MAX_ANSWER_BYTES = 4 * MEBIBYTE;
/** Largest total size of the answers that are still arriving, over all requests, in bytes. */
const MAX_BUFFERED_BYTES = 16 * MEBIBYTE;

/** Memory accounting of one answer; disposing of it releases the memory. */
export interface BufferedAnswer extends Disposable {
  /** Accounts for received bytes of the answer. */
  add(bytes: number): void;
}

/** Limits the memory that incomplete answers take. */
export interface AnswerMemory {
  /** Registers an answer; `abort` is called at most once, when the answer exceeds a limit. */
  begin(abort: () => void): BufferedAnswer;
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
    begin(callback) {
      const entry: AnswerEntry = { bytes: 0, abort: callback };
      pending.add(entry);
      return {
        add(bytes) {
          if (!pending.has(entry)) return;
          entry.bytes += bytes;
          totalBytes += bytes;
          if (entry.bytes > maxAnswerBytes) abortAnswer(entry);
          const toAbort = totalBytes > maxBufferedBytes ? largestPending() : undefined;
          if (toAbort) abortAnswer(toAbort);
        },
        [Symbol.dispose]() {
          end(entry);
        },
      };
    },
  };
}
