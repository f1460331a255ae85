import { setMaxListeners } from 'node:events';

import type { BackendServer } from '@boragepoint/config';
import { createConfirmingPool } from '@boragepoint/platform';
import type { Dispatcher } from 'undici';

import {
  type AdmissionQueue,
  type Clock,
  type ServerLimiter,
  connectionShare,
  createAdmissionQueue,
  createServerLimiter,
} from '../admission/index.js';

const CONNECT_TIMEOUT_MS = 500;
const KEEP_ALIVE_MS = 30_000;
/** Time for which disposal waits for in-flight requests before it aborts them. */
const CLOSE_GRACE_MS = 1_000;

/** This router's connection pool for one backend server, with its limiter and admission queue. */
export interface ServerLink {
  readonly address: string;
  readonly pool: Dispatcher;
  readonly limiter: ServerLimiter;
  readonly queue: AdmissionQueue;
}

/** The links to all backend servers that this router has sent requests to. */
export interface ServerLinks extends AsyncDisposable {
  /** Returns the link to a server; opens a new one if there is none or its address has changed. */
  linkTo(server: BackendServer): ServerLink;
  /** Adjusts this router's share of the connections of each server. */
  setLiveRouters(count: number): void;
  all(): ReadonlyMap<string, ServerLink>;
  /** Aborts when disposal no longer waits for in-flight requests. */
  readonly closing: AbortSignal;
}

/** Creates an empty set of links. */
export function createServerLinks(clock: Clock): ServerLinks {
  const links = new Map<string, ServerLink>();
  const closing = new AbortController();
  // Each non-idempotent attempt adds a listener, so their number must not cause a warning.
  setMaxListeners(0, closing.signal);
  let liveRouters = 1;

  function open(server: BackendServer): ServerLink {
    const { connections, slots, address } = server;
    const pool = createConfirmingPool(`http://${address}`, {
      connections: connectionShare(connections, liveRouters),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      keepAliveMs: KEEP_ALIVE_MS,
    });
    const limiter = createServerLimiter({ clock, connections, slots, liveRouters });
    return { address, pool, limiter, queue: createAdmissionQueue({ clock, limiter }) };
  }

  function close(link: ServerLink): Promise<void> {
    link.queue[Symbol.dispose]();
    return link.pool.close();
  }

  return {
    linkTo(server) {
      const existing = links.get(server.id);
      if (existing?.address === server.address) return existing;
      if (existing !== undefined) void close(existing);
      const link = open(server);
      links.set(server.id, link);
      return link;
    },
    setLiveRouters(count) {
      if (count === liveRouters) return;
      liveRouters = count;
      for (const link of links.values()) {
        link.limiter.setLiveRouters(count);
        link.queue.dispatch();
      }
    },
    all: () => links,
    closing: closing.signal,
    async [Symbol.asyncDispose]() {
      const abortTimer = setTimeout(() => {
        closing.abort();
      }, CLOSE_GRACE_MS);
      await Promise.all([...links.values()].map(close));
      clearTimeout(abortTimer);
    },
  };
}
