import { type ServerDirectory } from '@boragepoint/placement';
import type { ServerEntry } from '@boragepoint/platform';

import type { ServerCandidate } from './choose-server.js';
import {
  type ServerConnections,
  connectionShare,
  createServerConnections,
} from './server-connections.js';
import { type ServerLoad, createServerLoad } from './server-load.js';
import { createUnsentAbort } from './server-backoff.js';

/** Time between two looks for connections on which bytes come without end, in milliseconds. */
const FLOOD_CHECK_INTERVAL_MS = 500;

/** A backend server as the router uses it. */
export interface PooledServer {
  entry: ServerEntry;
  readonly load: ServerLoad;
  readonly connections: ServerConnections;
  /** Takes no requests that others can take before this time, in milliseconds of the monotonic clock. */
  avoidUntil: number;
  /** No connection to it comes about before this time, in milliseconds of the monotonic clock. */
  unreachableUntil: number;
  /** It wants nothing from this router before this time, in milliseconds of the monotonic clock. */
  backoffUntil: number;
  /** The pause that it asked for is longer than one that is granted: the next request is a trial. */
  needsTrial: boolean;
  /** Calls off the requests that wait for a connection to it. */
  unsentAbort: AbortController;
  /** When the server last answered anything, in milliseconds of the monotonic clock. */
  lastAnsweredAt: number;
  /** When this start of the server was first seen. */
  readonly firstSeenAt: number;
}

/** The backend servers that requests can be sent to. */
export interface ServerPool {
  get(id: string): PooledServer | undefined;
  /** Servers of a service that take requests, those that are avoided for now included. */
  ofService(service: string): readonly PooledServer[];
  /** Servers of a service that leave. */
  leaving(service: string): readonly PooledServer[];
  /** Follows the registry; for after each of its changes. */
  refresh(): void;
  all(): Iterable<PooledServer>;
}

/** What a pool needs. */
export interface ServerPoolOptions {
  readonly directory: ServerDirectory;
  maxConnections(service: string): number;
  routers(): number;
}

/** Creates a pool that follows a directory. */
export function createServerPool(options: ServerPoolOptions): ServerPool {
  const { directory } = options;
  const servers = new Map<string, PooledServer>();
  const groups = new Map<string, readonly PooledServer[]>();
  let knownRouters = options.routers();
  const floodTimer = setInterval(() => {
    for (const { connections } of servers.values()) connections.closeFlooded();
  }, FLOOD_CHECK_INTERVAL_MS);
  floodTimer.unref();

  const shareOf = (service: string) =>
    connectionShare(options.maxConnections(service), options.routers());

  /** Shares the servers' connections anew when routers have come or gone. */
  function resizeShares(): void {
    if (options.routers() === knownRouters) return;
    knownRouters = options.routers();
    for (const { entry, connections } of servers.values()) {
      connections.resize(shareOf(entry.service));
    }
  }

  /** The middle of the times that a service's servers were measured with; `undefined` without any. */
  function medianServiceMs(service: string): number | undefined {
    const times = [...servers.values()]
      .filter((it) => it.entry.service === service && it.load.isMeasured())
      .map((it) => it.load.serviceMs())
      .sort((a, b) => a - b);
    return times[times.length >> 1];
  }

  function findOrCreate(id: string): PooledServer | undefined {
    resizeShares();
    const known = directory.get(id);
    const existing = servers.get(id);
    if (!known) return undefined;
    const { entry } = known;
    if (existing?.entry === entry) return existing;
    if (existing?.entry.startedMs === entry.startedMs && existing.entry.address === entry.address) {
      existing.entry = entry;
      return existing;
    }
    existing?.connections.close();
    const created: PooledServer = {
      entry,
      load: createServerLoad(entry.slots, medianServiceMs(entry.service)),
      connections: createServerConnections(entry.address, shareOf(entry.service)),
      avoidUntil: -Infinity,
      unreachableUntil: -Infinity,
      backoffUntil: -Infinity,
      needsTrial: false,
      unsentAbort: createUnsentAbort(),
      lastAnsweredAt: -Infinity,
      firstSeenAt: known.firstSeenAt,
    };
    servers.set(id, created);
    return created;
  }

  return {
    get: findOrCreate,
    ofService(service) {
      const known = groups.get(service);
      if (known) return known;
      const group = directory
        .ofService(service)
        .filter((it) => !it.entry.draining)
        .flatMap((it) => findOrCreate(it.entry.id) ?? []);
      groups.set(service, group);
      return group;
    },
    leaving(service) {
      return directory
        .ofService(service)
        .filter((it) => it.entry.draining)
        .flatMap((it) => findOrCreate(it.entry.id) ?? []);
    },
    refresh() {
      groups.clear();
      for (const [id, server] of servers) {
        if (directory.get(id)) continue;
        server.connections.close();
        servers.delete(id);
      }
    },
    all: () => servers.values(),
  };
}

/** What is left of a server's warm-up, from 1 to 0. */
function warmUpRemainingOf({ entry, firstSeenAt }: PooledServer, now: number): number {
  const leftMs = firstSeenAt + entry.warmUpMs - now;
  return leftMs > 0 ? Math.min(1, leftMs / entry.warmUpMs) : 0;
}

/** The server warms up. */
export const isWarmingUp = (server: PooledServer, now: number): boolean =>
  warmUpRemainingOf(server, now) > 0;

/** Describes a server for the choice among equals. */
export function candidateOf(server: PooledServer, distance: number, now: number): ServerCandidate {
  const { entry, load } = server;
  return {
    id: entry.id,
    inFlight: load.totalInFlight(now),
    slots: load.slots(),
    serviceMs: load.serviceMs(),
    failureRate: load.failureRate(),
    distance,
    warmUpRemaining: warmUpRemainingOf(server, now),
    oldestInFlightMs: load.oldestInFlightMs(now),
  };
}
