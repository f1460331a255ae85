/** Aborts a transfer that makes no progress, and no other one however long it takes. */
export interface ProgressTimeout extends Disposable {
  readonly signal: AbortSignal;
  /** Something has arrived: the next part may take as long again. */
  progressed(): void;
}

/** Times without progress after which a transfer is aborted, in milliseconds. */
export interface ProgressLimits {
  /** Until the answer begins. */
  readonly beginMs: number;
  /** From one part of the answer to the next. */
  readonly gapMs: number;
}

/** Starts the time of a transfer that is about to begin. */
export function createProgressTimeout({ beginMs, gapMs }: ProgressLimits): ProgressTimeout {
  const controller = new AbortController();
  const abort = () => {
    controller.abort();
  };
  let timer = setTimeout(abort, beginMs);
  return {
    signal: controller.signal,
    progressed() {
      clearTimeout(timer);
      timer = setTimeout(abort, gapMs);
    },
    [Symbol.dispose]() {
      clearTimeout(timer);
    },
  };
}

/** Reads a body to its end, with each part as progress. */
export async function readWithProgress(
  body: AsyncIterable<Uint8Array>,
  timeout: Pick<ProgressTimeout, 'progressed'>,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  timeout.progressed();
  for await (const chunk of body) {
    chunks.push(chunk);
    timeout.progressed();
  }
  return Buffer.concat(chunks);
}
