/** Aborts a transfer that makes no progress, and no other one however long it takes. */
export interface ProgressTimeout extends Disposable {
  readonly signal: AbortSignal;
  /** Something has arrived: the next part may take as long again. */
  progressed(): void;
}

/** Times without progress after which a transfer is aborted, in milliseconds. */
export interface ProgressLimits {
  /** Until the answer begins. */
  readonly firstByteTimeoutMs: number;
  /** From one part of the answer to the next. */
  readonly progressTimeoutMs: number;
}

/** Starts the time of a transfer that is about to begin; `parent` aborts it, too. */
export function createProgressTimeout(
  { firstByteTimeoutMs, progressTimeoutMs }: ProgressLimits,
  parent?: AbortSignal,
): ProgressTimeout {
  const controller = new AbortController();
  const abort = () => {
    controller.abort();
  };
  let timer = setTimeout(abort, firstByteTimeoutMs);
  parent?.addEventListener('abort', abort);
  if (parent?.aborted === true) abort();
  return {
    signal: controller.signal,
    progressed() {
      clearTimeout(timer);
      timer = setTimeout(abort, progressTimeoutMs);
    },
    [Symbol.dispose]() {
      clearTimeout(timer);
      parent?.removeEventListener('abort', abort);
    },
  };
}

/** Bytes without which a part of an answer counts as no progress: who sends less would never end. */
const MIN_PROGRESS_BYTES = 512;

/** A body went on beyond what it may take. */
export class OversizedBodyError extends Error {
  override readonly name = 'OversizedBodyError';
}

/** Reads a body to its end, with what arrives as progress; fails with an {@link OversizedBodyError} beyond `maxBytes`. */
export async function readWithProgress(
  body: AsyncIterable<Uint8Array>,
  timeout: Pick<ProgressTimeout, 'progressed'>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  let progressSize = 0;
  timeout.progressed();
  for await (const chunk of body) {
    chunks.push(chunk);
    size += chunk.length;
    if (size > maxBytes) throw new OversizedBodyError(`more than ${maxBytes} bytes`);
    if (size < progressSize + MIN_PROGRESS_BYTES) continue;
    progressSize = size;
    timeout.progressed();
  }
  return Buffer.concat(chunks);
}
