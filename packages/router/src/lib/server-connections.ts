import type { Socket } from 'node:net';

import { type Dispatcher, Pool, buildConnector } from 'undici';

import { MAX_ANSWER_BYTES } from './answer-memory.js';

/** Time for a new connection to come about, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this time unless the server says a shorter one. */
const IDLE_TIMEOUT_MS = 8_000;
const MIN_IDLE_TIMEOUT_MS = 1_500;
/** Number of routers from which idle connections are kept for a shorter time, as they share a server's limit. */
const FULL_IDLE_ROUTERS = 12;
/** Part of a server's connections that the known routers use together. */
const USABLE_SHARE = 0.5;
const MIN_CONNECTIONS = 2;
/** Bytes between two looks at a connection beyond which no answers in a row explain them. */
const MAX_BYTES_PER_CHECK = 4 * MAX_ANSWER_BYTES;

/** Connections to one backend server. */
export interface ServerConnections {
  readonly dispatcher: Dispatcher;
  /**
   * True while a reset of one of the connections is being handled. The HTTP library takes an answer of
   * no stated length as whole when its connection is reset, so whoever gets one asks here.
   */
  isHandlingReset(): boolean;
  /** Takes another share into use if it differs much; requests on their way go on. */
  resize(share: ConnectionShare): void;
  /** Drops idle connections: they may be silent. Requests on their way go on. */
  replacePool(): void;
  /** Closes the connections on which more arrived since the last call than any answer may take. */
  closeFlooded(): void;
  close(): void;
}

/** What one router may use of a server's connections. */
export interface ConnectionShare {
  readonly connections: number;
  /** Time in milliseconds for which an idle one is kept. */
  readonly keepAliveMs: number;
}

/** Factor by which a share must change to be worth new connections. */
const MIN_RESIZE_FACTOR = 1.5;

/** Connections that one of `routers` routers may open to a server. */
export function connectionShare(maxConnections: number, routers: number): ConnectionShare {
  const connections = Math.floor((maxConnections * USABLE_SHARE) / routers);
  const keepAliveMs = Math.min(IDLE_TIMEOUT_MS, (IDLE_TIMEOUT_MS * FULL_IDLE_ROUTERS) / routers);
  return {
    connections: Math.max(MIN_CONNECTIONS, connections),
    keepAliveMs: Math.max(MIN_IDLE_TIMEOUT_MS, keepAliveMs),
  };
}

function shouldResize(from: ConnectionShare, to: ConnectionShare): boolean {
  const [less, more] = [from.connections, to.connections].sort((a, b) => a - b);
  const isShorterTimeout = from.keepAliveMs > to.keepAliveMs * MIN_RESIZE_FACTOR;
  return (more ?? 0) > (less ?? 0) * MIN_RESIZE_FACTOR || isShorterTimeout;
}

/** Creates the connections to the server at an address. */
export function createServerConnections(
  address: string,
  initialShare: ConnectionShare,
): ServerConnections {
  let share = initialShare;
  const connectSocket = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let handlingReset = false;
  /** Open connections, and the bytes that had arrived on each at the last look. */
  const sockets = new Map<Socket, number>();

  /** Connects, and notices errors of the connection before the HTTP library does. */
  const connect: buildConnector.connector = (options, callback) => {
    connectSocket(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        sockets.set(socket, 0);
        socket.once('close', () => sockets.delete(socket));
      }
      socket?.on('error', () => {
        handlingReset = true;
        queueMicrotask(() => {
          handlingReset = false;
        });
      });
      callback(...result);
    });
  };

  const createPool = () =>
    new Pool(`http://${address}`, {
      connections: share.connections,
      pipelining: 1,
      keepAliveTimeout: share.keepAliveMs,
      keepAliveMaxTimeout: share.keepAliveMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect,
    });
  let pool = createPool();

  function replacePool(): void {
    const old = pool;
    pool = createPool();
    void old.close().catch(() => undefined);
  }

  return {
    get dispatcher() {
      return pool;
    },
    isHandlingReset: () => handlingReset,
    replacePool,
    resize(next) {
      if (!shouldResize(share, next)) return;
      share = next;
      replacePool();
    },
    closeFlooded() {
      for (const [socket, before] of sockets) {
        sockets.set(socket, socket.bytesRead);
        if (socket.bytesRead - before > MAX_BYTES_PER_CHECK) socket.destroy();
      }
    },
    close() {
      void pool.close().catch(() => undefined);
    },
  };
}
