import { type Dispatcher, Pool, buildConnector } from 'undici';

/** Time for a new connection to come about, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Idle connections are closed after this time unless the server says a shorter one. */
const IDLE_MS = 8_000;
/** Part of a server's connections that the known routers use together. */
const USED_SHARE = 0.5;
const MIN_CONNECTIONS = 2;

/** Connections to one backend server. */
export interface ServerConnections {
  readonly dispatcher: Dispatcher;
  /**
   * True while a reset of one of the connections is being handled. The HTTP library takes an answer of
   * no stated length as whole when its connection is reset, so whoever gets one asks here.
   */
  isHandlingReset(): boolean;
  /** Drops idle connections: they may be silent. Requests on their way go on. */
  renew(): void;
  close(): void;
}

/** Connections that one of `routers` routers may open to a server. */
export function connectionShare(maxConnections: number, routers: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor((maxConnections * USED_SHARE) / routers));
}

/** Creates the connections to the server at an address. */
export function createServerConnections(address: string, connections: number): ServerConnections {
  const connectPlainly = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let handlingReset = false;

  /** Connects, and notices errors of the connection before the HTTP library does. */
  const connect: buildConnector.connector = (options, callback) => {
    connectPlainly(options, (...result) => {
      const [, socket] = result;
      socket?.on('error', () => {
        handlingReset = true;
        queueMicrotask(() => {
          handlingReset = false;
        });
      });
      callback(...result);
    });
  };

  const create = () =>
    new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: IDLE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect,
    });
  let pool = create();
  return {
    get dispatcher() {
      return pool;
    },
    isHandlingReset: () => handlingReset,
    renew() {
      const old = pool;
      pool = create();
      void old.close().catch(() => undefined);
    },
    close() {
      void pool.close().catch(() => undefined);
    },
  };
}
