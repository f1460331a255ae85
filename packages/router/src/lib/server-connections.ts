import type { Socket } from 'node:net';

import {
  type ResponseFramingOptions,
  createConnectionEnds,
  limitFraming,
} from '@boragepoint/platform';
import type { Dispatcher } from 'undici';

import { type ConnectionPool, createConnectionPool } from './connection-pool.js';
import { createIdleLimit } from './idle-limit.js';

/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Idle connections are closed after this time, in milliseconds, unless the server announces a
 * shorter one.
 */
const IDLE_TIMEOUT_MS = 8_000;
const MIN_IDLE_TIMEOUT_MS = 4_000;
/**
 * With more routers than this, connections beyond a router's first one have a shorter idle timeout,
 * as the routers share a server's connection limit.
 */
const FULL_IDLE_ROUTERS = 12;
/** Share of a server's connection limit that all known routers use together. */
const USABLE_SHARE = 0.5;
const MIN_CONNECTIONS = 2;
/** Connections for repeated requests, as a share of a router's connections to a server. */
const REPEAT_SHARE = 0.25;

/** Sends requests to one backend server. */
export interface RequestConnections {
  readonly dispatcher: Pick<Dispatcher, 'dispatch'>;
  /**
   * Whether the connection of an answer that ends with it ended in order. The HTTP library reports
   * such an answer as complete also when its connection was reset, so its receiver has to ask, in
   * the turn in which the end is reported.
   */
  confirmEnd(): Promise<boolean>;
  /**
   * Calls `cancel`, in which the HTTP library closes the connection of a request, and resets that
   * connection. Closed in order, it would still deliver what has not arrived of the request, however
   * much later.
   */
  resetWhile(cancel: () => void): void;
}

/** Connections to one backend server. */
export interface ServerConnections extends RequestConnections {
  /**
   * Connections for a request that was sent to the server `earlierSends` times before. They carry no
   * requests with another number of sends, so that no answer to an earlier one can arrive on them.
   */
  forRepeat(earlierSends: number): RequestConnections;
  /** Applies another share if it differs much; requests in flight continue. */
  resize(share: ConnectionShare): void;
  /** Drops idle connections, which may be dead; requests in flight continue. */
  replacePools(): void;
  /** Closes idle connections beyond the first whose time is over. */
  closeIdle(): void;
  /** Closes idle connections beyond the first, because the server's queue is long. */
  closeExtra(): void;
  close(): void;
}

/** One router's share of a server's connections. */
export interface ConnectionShare {
  readonly connections: number;
  /** Idle timeout of the connection that was used last, in milliseconds. */
  readonly keepAliveMs: number;
  /** Idle timeout of the others, in milliseconds; that of the first if missing. */
  readonly extraKeepAliveMs?: number;
}

/** Observes the use of connections to servers. */
export interface ConnectionUse {
  /** Called for each connection that is opened. */
  noteOpened(): void;
  /** Called for each request on a connection that was used before. */
  noteReused(): void;
}

/** Least factor of change at which connections are resized. */
const MIN_RESIZE_FACTOR = 1.5;

/**
 * Computes the share of one router among `routers` in the connections of a server. One idle
 * connection of each router is kept for the full time if all of them fit into the usable share; the
 * number of the others follows the load of the last seconds.
 */
export function connectionShare(maxConnections: number, routers: number): ConnectionShare {
  const usable = maxConnections * USABLE_SHARE;
  const shrunkMs = Math.max(
    MIN_IDLE_TIMEOUT_MS,
    Math.min(IDLE_TIMEOUT_MS, (IDLE_TIMEOUT_MS * FULL_IDLE_ROUTERS) / routers),
  );
  return {
    connections: Math.max(MIN_CONNECTIONS, Math.floor(usable / routers)),
    keepAliveMs: routers <= usable ? IDLE_TIMEOUT_MS : shrunkMs,
    extraKeepAliveMs: shrunkMs,
  };
}

const extraKeepAliveOf = (share: ConnectionShare) => share.extraKeepAliveMs ?? share.keepAliveMs;

function shouldResize(from: ConnectionShare, to: ConnectionShare): boolean {
  const [less, more] = [from.connections, to.connections].sort((a, b) => a - b);
  const isShorterTimeout =
    from.keepAliveMs > to.keepAliveMs * MIN_RESIZE_FACTOR ||
    extraKeepAliveOf(from) > extraKeepAliveOf(to) * MIN_RESIZE_FACTOR;
  return (more ?? 0) > (less ?? 0) * MIN_RESIZE_FACTOR || isShorterTimeout;
}

/** Creates the connections to the server at an address; `limits` are shared with others. */
export function createServerConnections(
  address: string,
  initialShare: ConnectionShare,
  use?: ConnectionUse,
  limits?: ResponseFramingOptions,
): ServerConnections {
  let share = initialShare;
  const now = () => performance.now();
  const idleLimit = createIdleLimit(now);
  const ends = createConnectionEnds();
  let isResetting = false;

  function resetWhile(cancel: () => void): void {
    isResetting = true;
    try {
      cancel();
    } finally {
      isResetting = false;
    }
  }

  /** Resets a connection in place of closing it, if the HTTP library destroys it meanwhile. */
  function watchDestroy(socket: Socket): void {
    const destroy = socket.destroy.bind(socket);
    let cause: Error | undefined;
    socket.destroy = (err) => {
      // A reset destroys the socket without an error. The HTTP library, which waits for its own,
      // would take it for the end of an answer.
      if (!isResetting) return destroy(err ?? cause);
      isResetting = false;
      cause = err;
      return socket.resetAndDestroy();
    };
  }

  const limited = limitFraming(
    { timeout: CONNECT_TIMEOUT_MS, allowHalfOpen: true },
    {
      ...limits,
      onConnected(socket) {
        use?.noteOpened();
        ends.watch(socket);
        watchDestroy(socket);
      },
    },
  );

  const createPool = (connections: number) =>
    createConnectionPool({
      origin: `http://${address}`,
      connections,
      keepAliveMs: share.keepAliveMs,
      extraKeepAliveMs: extraKeepAliveOf(share),
      connect: limited.connect,
      observe: (handler) => limited.observe(handler),
      idleLimit,
      now,
      onSend(isReused) {
        if (isReused) use?.noteReused();
      },
    });
  const confirmEnd = () => ends.confirmEnd();
  /** Pools by the number of earlier sends of their requests. */
  const pools = new Map<number, ConnectionPool>();

  function poolOf(earlierSends: number): ConnectionPool {
    const existing = pools.get(earlierSends);
    if (existing) return existing;
    const repeatConnections = Math.floor(share.connections * REPEAT_SHARE);
    const connections =
      earlierSends === 0 ? share.connections : Math.max(MIN_CONNECTIONS, repeatConnections);
    const pool = createPool(connections);
    pools.set(earlierSends, pool);
    return pool;
  }

  function closePools(): void {
    for (const pool of pools.values()) pool.close();
  }

  function replacePools(): void {
    closePools();
    pools.clear();
  }

  return {
    get dispatcher() {
      return poolOf(0);
    },
    confirmEnd,
    resetWhile,
    forRepeat: (earlierSends) => ({ dispatcher: poolOf(earlierSends), confirmEnd, resetWhile }),
    replacePools,
    resize(next) {
      if (!shouldResize(share, next)) return;
      share = next;
      replacePools();
    },
    closeIdle() {
      for (const pool of pools.values()) pool.trim();
    },
    closeExtra() {
      for (const pool of pools.values()) pool.trim(0);
    },
    close: closePools,
  };
}
