/** A signal that aborts after a time or with a parent, and leaves nothing behind once disposed of. */
export interface AbortAfter extends Disposable {
  readonly signal: AbortSignal;
  /** Aborts at once. */
  abort(): void;
}

/**
 * Creates a signal that aborts after `ms` milliseconds, or when `parent` does. Unlike
 * `AbortSignal.timeout` and `AbortSignal.any` it holds no timer or listener after its disposal.
 */
export function abortAfter(ms: number, parent?: AbortSignal): AbortAfter {
  const controller = new AbortController();
  const abort = () => {
    controller.abort();
  };
  const timer = setTimeout(abort, ms);
  if (parent?.aborted === true) abort();
  parent?.addEventListener('abort', abort);
  return {
    signal: controller.signal,
    abort,
    [Symbol.dispose]() {
      clearTimeout(timer);
      parent?.removeEventListener('abort', abort);
    },
  };
}
