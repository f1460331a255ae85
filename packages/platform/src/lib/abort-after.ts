/**
 * An abort signal with a timeout and an optional parent; disposal removes its timer and listener.
 */
export interface AbortAfter extends Disposable {
  readonly signal: AbortSignal;
  /** Aborts immediately. */
  abort(): void;
}

/**
 * Creates a signal that aborts after `ms` milliseconds, or when `parent` does. Unlike
 * `AbortSignal.timeout` and `AbortSignal.any` it keeps no timer or listener after disposal.
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
