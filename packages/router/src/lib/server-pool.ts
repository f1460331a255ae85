import { isCallable } from '@boragepoint/config';
import type { ColdPeriod, IncarnationId, ServerDirectory } from '@boragepoint/placement';
import { type HeldMemory, type ServerEntry, createResponseTurns } from '@boragepoint/platform';

import type { ServerCandidate } from './choose-server.js';
import {
  type ConnectionUse,
  type ServerConnections,
  connectionShare,
  createServerConnections,
} from './server-connections.js';
import { type ServerLoad, createServerLoad, loadStateOf } from './server-load.js';
import { createTypicalServiceTime } from './typical-service-time.js';
import { type BackoffState, cancelUnsent, createUnsentAbort } from './server-backoff.js';

/** Interval between checks for connections that were idle for too long, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 500;

/**
 * A draining server gets no new requests after this share of its notice time; the rest is for the
 * way to the server.
 */
const USABLE_NOTICE_SHARE = 0.85;
/** A timer may end this much too early, in milliseconds. */
const TIMER_SLACK_MS = 5;

/** Part of a notice time in which requests are still sent, in milliseconds. */
export const usableNoticeMs = (noticeMs: number): number => noticeMs * USABLE_NOTICE_SHARE;

/** A backend server as the router uses it. */
export interface PooledServer extends BackoffState {
  entry: ServerEntry;
  readonly load: ServerLoad;
  readonly connections: ServerConnections;
  /**
   * Before this time it gets no requests that others can take, in milliseconds of the monotonic
   * clock.
   */
  avoidUntil: number;
  /** Before this time it counts as unreachable, in milliseconds of the monotonic clock. */
  unreachableUntil: number;
  /** When the server last answered anything, in milliseconds of the monotonic clock. */
  lastAnsweredAt: number;
  /** When this incarnation is cold. */
  cold: ColdPeriod;
}

/** Returns the incarnation of a server that requests are sent to. */
export function incarnationOf(server: {
  readonly entry: Pick<ServerEntry, 'id' | 'startedMs'>;
}): IncarnationId {
  const { id, startedMs } = server.entry;
  return { server: id, startedMs };
}

/** The backend servers that requests can be sent to. */
export interface ServerPool {
  get(id: string): PooledServer | undefined;
  /** Servers of a service that are not draining, including those that are avoided for now. */
  ofService(service: string): readonly PooledServer[];
  /** Draining servers of a service. */
  leaving(service: string): readonly PooledServer[];
  /** Updates the pool; to be called after each change of the registry. */
  refresh(): void;
  all(): Iterable<PooledServer>;
}

/** Dependencies of a pool. */
export interface ServerPoolOptions {
  readonly directory: ServerDirectory;
  maxConnections(service: string): number;
  routers(): number;
  /** Returns whether cold servers of a service take requests at a limited rate only. */
  hasWarmUpRate(service: string): boolean;
  /** Observes the use of connections to the servers of a service. */
  connectionUse?(service: string): ConnectionUse;
  /** Accounts for the header lines of the servers' responses. */
  readonly answerMemory?: HeldMemory;
  /** Notice time for which a draining server accepts requests, in milliseconds. */
  drainNoticeMs(): number;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** Creates a pool of the servers in a directory. */
export function createServerPool(options: ServerPoolOptions): ServerPool {
  const { directory } = options;
  const servers = new Map<string, PooledServer>();
  const groups = new Map<string, readonly PooledServer[]>();
  const typicalTimes = new Map<string, () => number>();
  const responseLimits = { memory: options.answerMemory, turns: createResponseTurns() };
  let knownRouters = options.routers();
  const connectionCheckTimer = setInterval(() => {
    for (const { connections } of servers.values()) connections.closeIdle();
  }, CONNECTION_CHECK_INTERVAL_MS);
  connectionCheckTimer.unref();

  const shareOf = (service: string) =>
    connectionShare(options.maxConnections(service), options.routers());

  /** Resizes the connection shares when the number of routers has changed. */
  function resizeShares(): void {
    if (options.routers() === knownRouters) return;
    knownRouters = options.routers();
    for (const { entry, connections } of servers.values()) {
      connections.resize(shareOf(entry.service));
    }
  }

  /** Returns the function for the typical service time of a service's servers. */
  function typicalServiceMsOf(service: string): () => number {
    const known = typicalTimes.get(service);
    if (known) return known;
    const loads = () =>
      [...servers.values()].filter((it) => it.entry.service === service).map((it) => it.load);
    const created = createTypicalServiceTime(loads, () => options.now());
    typicalTimes.set(service, created);
    return created;
  }

  /**
   * Cancels the requests that still wait for a connection to a draining server when it accepts no
   * more, so that they can be sent to others.
   */
  function cancelAtNoticeEnd(server: PooledServer, since: number): void {
    const endsAt = since + usableNoticeMs(options.drainNoticeMs());
    const timer = setTimeout(
      () => {
        if (server.entry.draining) cancelUnsent(server);
      },
      Math.max(0, endsAt - options.now()) + TIMER_SLACK_MS,
    );
    timer.unref();
  }

  /** Ends the use of a server that has gone: what waits for a connection to it is not sent. */
  function discard(server: PooledServer): void {
    cancelUnsent(server);
    server.connections.close();
  }

  /**
   * Notes when a server is cold. What waits for a connection to a server that becomes cold would
   * reach it without a permit, and is cancelled.
   */
  function applyColdPeriod(server: PooledServer, cold: ColdPeriod): void {
    const wasCold = isWarmingUp(server, options.now());
    server.cold = cold;
    const becomesCold = !wasCold && isWarmingUp(server, options.now());
    if (becomesCold && options.hasWarmUpRate(server.entry.service)) cancelUnsent(server);
  }

  function findOrCreate(id: string): PooledServer | undefined {
    resizeShares();
    const known = directory.get(id);
    const existing = servers.get(id);
    if (!known) return undefined;
    const { entry } = known;
    if (existing?.entry === entry) return existing;
    if (existing?.entry.startedMs === entry.startedMs && existing.entry.address === entry.address) {
      const beginsToDrain = entry.draining && !existing.entry.draining;
      existing.entry = entry;
      applyColdPeriod(existing, known.cold);
      if (beginsToDrain) cancelAtNoticeEnd(existing, known.stateSince);
      return existing;
    }
    if (existing) discard(existing);
    if (!isCallable(entry.address)) {
      servers.delete(id);
      return undefined;
    }
    const created: PooledServer = {
      entry,
      load: createServerLoad(entry.slots, typicalServiceMsOf(entry.service)),
      connections: createServerConnections(
        entry.address,
        shareOf(entry.service),
        options.connectionUse?.(entry.service),
        responseLimits,
      ),
      avoidUntil: -Infinity,
      unreachableUntil: -Infinity,
      backoffUntil: -Infinity,
      needsTrial: false,
      unsentAbort: createUnsentAbort(),
      lastAnsweredAt: -Infinity,
      cold: known.cold,
    };
    servers.set(id, created);
    if (entry.draining) cancelAtNoticeEnd(created, known.stateSince);
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
        if (directory.get(id)) {
          findOrCreate(id);
          continue;
        }
        discard(server);
        servers.delete(id);
      }
    },
    all: () => servers.values(),
  };
}

/** Remaining share of a server's warm-up, from 1 to 0. */
function warmUpRemainingOf({ cold }: PooledServer, now: number): number {
  const leftMs = cold.until - now;
  return leftMs > 0 ? Math.min(1, leftMs / cold.forMs) : 0;
}

export const isWarmingUp = (server: PooledServer, now: number): boolean =>
  warmUpRemainingOf(server, now) > 0;

/** Describes a server for `chooseServer`. */
export function candidateOf(server: PooledServer, distance: number, now: number): ServerCandidate {
  const { entry, load } = server;
  return {
    id: entry.id,
    ...loadStateOf(load, now),
    distance,
    warmUpRemaining: warmUpRemainingOf(server, now),
  };
}
