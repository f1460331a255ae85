const MEBIBYTE = 1 << 20;
/** Largest body of an answer that is passed on, in bytes. */
export const MAX_ANSWER_BYTES = 4 * MEBIBYTE;
/** Bytes of answers that have begun to arrive and have not ended, of all requests together. */
const MAX_BUFFERED_BYTES = 16 * MEBIBYTE;

/** The part of one answer. */
export interface BufferedAnswer extends Disposable {
  /** More of the answer has arrived. */
  add(bytes: number): void;
}

/** Bounds what answers take in memory before they have ended. */
export interface AnswerMemory {
  /** Begins an answer; `cutOff` is called at most once, when it takes more than its part. */
  begin(abort: () => void): BufferedAnswer;
}

interface AnswerEntry {
  bytes: number;
  readonly abort: () => void;
}

/** Creates a room. Where all answers together are too much, the largest goes: those that end are small. */
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

  function largest(): AnswerEntry | undefined {
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
          const next = totalBytes > maxBufferedBytes ? largest() : undefined;
          if (next) abortAnswer(next);
        },
        [Symbol.dispose]() {
          end(entry);
        },
      };
    },
  };
}
