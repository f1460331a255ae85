/** Parts that are disposed of together, the latest first. */
export interface CleanUp extends AsyncDisposable {
  /** Adds a part and returns it. */
  use<T extends AsyncDisposable>(part: T): T;
  /** Adds a step. */
  defer(step: () => unknown): void;
}

/** Creates an empty list of parts. Node.js 20 has no `AsyncDisposableStack`. */
export function createCleanUp(): CleanUp {
  const steps: (() => unknown)[] = [];
  return {
    use(part) {
      steps.push(() => part[Symbol.asyncDispose]());
      return part;
    },
    defer(step) {
      steps.push(step);
    },
    async [Symbol.asyncDispose]() {
      while (steps.length > 0) await steps.pop()?.();
    },
  };
}
