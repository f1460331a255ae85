/** Time without progress after which a caller that has answers to read counts as stalled, in milliseconds. */
const MAX_STALL_MS = 10_000;
/** Time between two looks at all connections, in milliseconds. */
const LOOK_INTERVAL_MS = 1_000;

/** The sending side of a connection. */
export interface SendingSide {
  /** Bytes that were written to it, sent or not. */
  readonly bytesWritten: number;
  /** Bytes that are not sent yet. */
  readonly writableLength: number;
}

/** A connection whose caller reads nothing. */
export interface StalledCaller<T> {
  readonly connection: T;
  /** How long nothing has been sent although there was something to send, in milliseconds. */
  readonly forMs: number;
}

/** Finds callers that have stopped reading. */
export interface StalledCallers<T> {
  /** Looks at the open connections, unless it has just done so. */
  find(open: Iterable<T>): readonly StalledCaller<T>[];
}

/** Creates a search without observations; `now` is monotonic time in milliseconds. */
export function createStalledCallers<T extends SendingSide & object>(
  now: () => number,
): StalledCallers<T> {
  const progress = new WeakMap<T, { readonly sentBytes: number; readonly since: number }>();
  let lookedAt = -Infinity;

  /** Returns for how long a connection has sent nothing, as far as looks at it have shown. */
  function stalledForMs(connection: T): number {
    const sentBytes = connection.bytesWritten - connection.writableLength;
    const known = progress.get(connection);
    if (connection.writableLength > 0 && known?.sentBytes === sentBytes) return now() - known.since;
    progress.set(connection, { sentBytes, since: now() });
    return 0;
  }

  return {
    find(open) {
      if (now() < lookedAt + LOOK_INTERVAL_MS) return [];
      lookedAt = now();
      return [...open]
        .map((connection) => ({ connection, forMs: stalledForMs(connection) }))
        .filter(({ forMs }) => forMs >= MAX_STALL_MS);
    },
  };
}
