import { UNLIMITED_ROOM, createBodyParts } from './body-parts.js';

/** Aborts a transfer that makes no progress. The total time of a transfer is not limited. */
export interface ProgressTimeout extends Disposable {
  readonly signal: AbortSignal;
  /** Restarts the timeout after data has arrived. */
  progressed(): void;
}

/** Times without progress after which a transfer is aborted. */
export interface ProgressLimits {
  /** Time until the answer begins, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Time between two parts of the answer, in milliseconds. */
  readonly progressTimeoutMs: number;
}

/**
 * Starts the timeout of a transfer that is about to begin. `waitSignal` aborts it too, unless the
 * answer has begun to arrive.
 */
export function createProgressTimeout(
  { firstByteTimeoutMs, progressTimeoutMs }: ProgressLimits,
  waitSignal?: AbortSignal,
): ProgressTimeout {
  const controller = new AbortController();
  const abort = () => {
    controller.abort();
  };
  let timer = setTimeout(abort, firstByteTimeoutMs);
  waitSignal?.addEventListener('abort', abort);
  if (waitSignal?.aborted === true) abort();
  return {
    signal: controller.signal,
    progressed() {
      waitSignal?.removeEventListener('abort', abort);
      clearTimeout(timer);
      timer = setTimeout(abort, progressTimeoutMs);
    },
    [Symbol.dispose]() {
      clearTimeout(timer);
      waitSignal?.removeEventListener('abort', abort);
    },
  };
}

/**
 * Minimum size of a part of an answer that counts as progress, in bytes. Otherwise a sender of
 * single bytes could keep a transfer open forever.
 */
const MIN_PROGRESS_BYTES = 512;

/** Size of the buffer of a body at first, in bytes. */
const FIRST_BUFFER_BYTES = 16 * 1_024;

/** A body exceeded its maximum size. */
export class OversizedBodyError extends Error {
  override readonly name = 'OversizedBodyError';
}

/**
 * Reads a complete body and reports progress to `timeout` as data arrives. Fails with an
 * {@link OversizedBodyError} if the body is larger than `maxBytes`.
 */
export async function readWithProgress(
  body: AsyncIterable<Uint8Array>,
  timeout: Pick<ProgressTimeout, 'progressed'>,
  maxBytes: number,
): Promise<Buffer> {
  const sizes = { length: undefined, firstBytes: FIRST_BUFFER_BYTES, maxBytes };
  const parts = createBodyParts(sizes, UNLIMITED_ROOM);
  let progressSize = 0;
  timeout.progressed();
  for await (const chunk of body) {
    const size = parts.size() + chunk.length;
    if (size > maxBytes) throw new OversizedBodyError(`body is larger than ${maxBytes} bytes`);
    parts.add(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length));
    if (size < progressSize + MIN_PROGRESS_BYTES) continue;
    progressSize = size;
    timeout.progressed();
  }
  return parts.body() ?? Buffer.alloc(0);
}
