/** Parts that are disposed of together, the latest first. */
export interface CleanupStack extends AsyncDisposable {
  /** Adds a part and returns it. */
  use<T extends AsyncDisposable>(part: T): T;
  /** Adds a step. */
  defer(step: () => unknown): void;
}

/** Creates an empty list of parts. Node.js 20 has no `AsyncDisposableStack`. */
export function createCleanupStack(): CleanupStack {
  const callbacks: (() => unknown)[] = [];
  return {
    use(part) {
      callbacks.push(() => part[Symbol.asyncDispose]());
      return part;
    },
    defer(step) {
      callbacks.push(step);
    },
    async [Symbol.asyncDispose]() {
      while (callbacks.length > 0) await callbacks.pop()?.();
    },
  };
}
