/** Longest idle time of connections used at a server that drops them early, in milliseconds. */
const EARLY_LIMIT_MS = 200;
/** Idle time from which a reset counts as a dropped connection, in milliseconds. */
const MIN_IDLE_MS = EARLY_LIMIT_MS;
/**
 * Time after a reset of a connection that was not idle, in which resets of idle ones do not count:
 * a full server resets both. In milliseconds.
 */
const OTHER_RESET_TTL_MS = 1_000;
/** Time for which requests that can be sent again use only recent connections, in milliseconds. */
const REPEATABLE_TTL_MS = 10_000;
/** The same for requests that are lost by a reset, in milliseconds. */
const UNREPEATABLE_TTL_MS = 60_000;

/** How long a server's idle connections can be used, as its resets have shown. */
export interface IdleLimit {
  /**
   * Longest idle time of a connection for a request, in milliseconds; `Infinity` while the server
   * keeps its connections.
   */
  limitMs(isRepeatable: boolean): number;
  /** Notes that a connection was reset when it was used after an idle time; 0 for a new one. */
  noteReset(idleMs: number): void;
  /** Notes that a connection carried an answer after an idle time. */
  noteAnswer(idleMs: number): void;
}

/**
 * Learns whether a server drops idle connections early. Requests that can be sent again try older
 * connections sooner, and show whether the server keeps them again.
 */
export function createIdleLimit(now: () => number): IdleLimit {
  let resetAt = -Infinity;
  let otherResetAt = -Infinity;
  return {
    limitMs(isRepeatable) {
      const ttlMs = isRepeatable ? REPEATABLE_TTL_MS : UNREPEATABLE_TTL_MS;
      return now() < resetAt + ttlMs ? EARLY_LIMIT_MS : Infinity;
    },
    noteReset(idleMs) {
      if (idleMs < MIN_IDLE_MS) otherResetAt = now();
      else if (now() >= otherResetAt + OTHER_RESET_TTL_MS) resetAt = now();
    },
    noteAnswer(idleMs) {
      // An earlier answer belongs to a request that was sent before the reset.
      if (idleMs > 2 * EARLY_LIMIT_MS && now() > resetAt + REPEATABLE_TTL_MS) resetAt = -Infinity;
    },
  };
}
