/** How much longer than the idle timeout a client may stall while the budget is not short. */
const AMPLE_FACTOR = 2;

/** What a connection shows of its client. */
export interface ClientProgress {
  /** Bytes that the client has sent and has been sent; equal while it stalls. */
  readonly movedBytes: number;
  /** Whether the client has to go on: it owes the rest of a body, or has answers to read. */
  readonly isAwaited: boolean;
}

/** A client that doesn't go on. */
export interface StalledClient<T> {
  readonly connection: T;
  /** For how long, in milliseconds. */
  readonly forMs: number;
}

/** Finds the clients that lose their connections because they don't go on. */
export interface StalledClients<T> {
  /** Looks at all connections; those that have stalled for longest come first. */
  find(open: Iterable<T>, isBudgetShort: boolean): readonly StalledClient<T>[];
}

/**
 * Creates a search without observations. A client stalls for the idle timeout at least, and for
 * twice as long while the budget is not short, before it is found.
 */
export function createStalledClients<T extends object>(
  progressOf: (connection: T) => ClientProgress,
  idleTimeoutMs: () => number,
  now: () => number,
): StalledClients<T> {
  const seen = new WeakMap<T, { readonly movedBytes: number; readonly since: number }>();

  function stalledForMs(connection: T): number {
    const { movedBytes, isAwaited } = progressOf(connection);
    const known = seen.get(connection);
    if (isAwaited && known?.movedBytes === movedBytes) return now() - known.since;
    if (isAwaited) seen.set(connection, { movedBytes, since: now() });
    else seen.delete(connection);
    return 0;
  }

  return {
    find(open, isBudgetShort) {
      const boundMs = idleTimeoutMs() * (isBudgetShort ? 1 : AMPLE_FACTOR);
      return [...open]
        .map((connection) => ({ connection, forMs: stalledForMs(connection) }))
        .filter(({ forMs }) => forMs >= boundMs)
        .sort((a, b) => b.forMs - a.forMs);
    },
  };
}
