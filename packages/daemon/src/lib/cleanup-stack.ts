/** Resources that are disposed of together, in reverse order of their addition. */
export interface CleanupStack extends AsyncDisposable {
  /** Adds a resource and returns it. */
  use<T extends AsyncDisposable>(resource: T): T;
  /** Adds a callback that is called on disposal. */
  defer(callback: () => unknown): void;
}

/** Creates an empty stack. Node.js 20 has no `AsyncDisposableStack`. */
export function createCleanupStack(): CleanupStack {
  const callbacks: (() => unknown)[] = [];
  return {
    use(resource) {
      callbacks.push(() => resource[Symbol.asyncDispose]());
      return resource;
    },
    defer(callback) {
      callbacks.push(callback);
    },
    async [Symbol.asyncDispose]() {
      while (callbacks.length > 0) await callbacks.pop()?.();
    },
  };
}
