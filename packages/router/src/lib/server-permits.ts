import type { IncarnationId, PermitsReply, WantedPermits } from '@boragepoint/placement';

import { createLoneShare } from './lone-share.js';
import type { PooledServer } from './server-pool.js';

/** Time for which a permit that was given back can be used, in milliseconds. */
const RETURNED_TTL_MS = 250;
/** Time for which a leader that did not answer is not asked again, in milliseconds. */
const SILENT_LEADER_MS = 500;
/** Shortest time between two calls to the leader, in milliseconds. */
const MIN_CALL_GAP_MS = 20;
/** Longest time until the first caller may come back, in milliseconds. */
const MAX_WAIT_MS = 3_000;
/** Longest time over which callers that come back are spread, in milliseconds. */
const MAX_SPREAD_MS = 3_000;
const MIN_SPREAD_MS = 400;

/** A server, as far as permits are concerned. */
export interface LimitedServer {
  readonly entry: Pick<PooledServer['entry'], 'id' | 'startedMs'>;
}

/** Permits to send requests to servers that name a limit. */
export interface ServerPermits {
  /** Returns the limit that a server names, in requests per second; `undefined` without one. */
  limitOf(server: LimitedServer): number | undefined;
  /**
   * Takes a permit for a request that may go to any of these servers, the preferred one first.
   * Resolves to `undefined` at once, or after one call to the leader, if there is none.
   */
  acquire<T extends LimitedServer>(servers: readonly T[], priority: number): Promise<T | undefined>;
  /** Gives back a permit that was not used. */
  giveBack(server: LimitedServer): void;
  /**
   * Returns a `Retry-After` time for a request that got no permit for these servers, in
   * milliseconds, spread over the time in which room is expected.
   */
  retryAfterMs(servers: readonly LimitedServer[], priority: number): number;
}

/** Dependencies of the permits. */
export interface ServerPermitsOptions {
  limitOf(incarnation: IncarnationId): number | undefined;
  /** Asks the leader; see `PlacementMember.requestPermits`. */
  request(wanted: readonly WantedPermits[]): Promise<readonly PermitsReply[] | undefined>;
  /** Number of routers that share the limits, including this one. */
  routers(): number;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** A request that waits for the leader's reply. */
interface Waiter {
  readonly servers: readonly LimitedServer[];
  readonly priority: number;
  readonly resolve: (server: LimitedServer | undefined) => void;
}

/** Waiting requests that may go to the same servers, and those refused since the last call. */
interface WaitingGroup {
  readonly waiters: Waiter[];
  refused: number;
}

/** When a router may ask again, and for how long room is then short, in milliseconds. */
interface Hold {
  readonly until: number;
  readonly spreadMs: number;
}

const incarnationOf = ({ entry }: LimitedServer): IncarnationId => ({
  server: entry.id,
  startedMs: entry.startedMs,
});

const groupKey = (servers: readonly LimitedServer[], priority: number) =>
  [priority, ...servers.map((it) => it.entry.id)].join(' ');

/** Creates the permits of one router. */
export function createServerPermits(options: ServerPermitsOptions): ServerPermits {
  const { now, random } = options;
  const loneShare = createLoneShare(now, random);
  /** Holds of servers, by their id and a priority. */
  const holds = new Map<string, Hold>();
  /** When permits that were given back lapse, by the id of their server. */
  const returned = new Map<string, number[]>();
  let groups = new Map<string, WaitingGroup>();
  let isCalling = false;
  let lastCallAt = -Infinity;
  let leaderSilentUntil = -Infinity;

  const limitOf = (server: LimitedServer) => options.limitOf(incarnationOf(server));
  const holdKey = (server: LimitedServer, priority: number) => `${server.entry.id} ${priority}`;

  function holdOf(server: LimitedServer, priority: number): Hold | undefined {
    const key = holdKey(server, priority);
    const hold = holds.get(key);
    if (hold && hold.until <= now()) {
      holds.delete(key);
      return undefined;
    }
    return hold;
  }

  function takeReturned(server: LimitedServer): boolean {
    const usable = (returned.get(server.entry.id) ?? []).filter((until) => until > now());
    const isTaken = usable.pop() !== undefined;
    if (usable.length > 0) returned.set(server.entry.id, usable);
    else returned.delete(server.entry.id);
    return isTaken;
  }

  function groupOf(servers: readonly LimitedServer[], priority: number): WaitingGroup {
    const key = groupKey(servers, priority);
    const group = groups.get(key) ?? { waiters: [], refused: 0 };
    groups.set(key, group);
    return group;
  }

  /** Takes this router's own turn at one of the servers, without a leader. */
  function takeTurn<T extends LimitedServer>(servers: readonly T[]): T | undefined {
    return servers.find((it) =>
      loneShare.take(incarnationOf(it), limitOf(it) ?? Infinity, options.routers()),
    );
  }

  function applyReply({ waiters }: WaitingGroup, reply: PermitsReply): void {
    const [first] = waiters;
    if (!first) return;
    if (reply.granted.length < waiters.length) {
      const hold = { until: now() + reply.holdMs, spreadMs: reply.spreadMs };
      for (const server of first.servers) holds.set(holdKey(server, first.priority), hold);
    }
    waiters.forEach((waiter, index) => {
      const id = reply.granted[index];
      waiter.resolve(waiter.servers.find((it) => it.entry.id === id));
    });
  }

  async function callLeader(): Promise<void> {
    const asked = [...groups.values()].filter((it) => it.waiters.length > 0);
    groups = new Map();
    const wanted = asked.map(({ waiters, refused }) => ({
      servers: waiters[0]?.servers.map((it) => it.entry.id) ?? [],
      priority: waiters[0]?.priority ?? 0,
      count: waiters.length,
      refused,
    }));
    lastCallAt = now();
    for (const [key, { until }] of holds) if (until <= now()) holds.delete(key);
    const replies = await options.request(wanted);
    if (!replies) leaderSilentUntil = now() + SILENT_LEADER_MS;
    asked.forEach((group, index) => {
      const reply = replies?.[index];
      if (reply) applyReply(group, reply);
      else for (const waiter of group.waiters) waiter.resolve(takeTurn(waiter.servers));
    });
  }

  const hasWaiters = () => [...groups.values()].some((it) => it.waiters.length > 0);

  /** Calls the leader for those who wait, one call at a time. */
  async function callForWaiters(): Promise<void> {
    if (isCalling) return;
    isCalling = true;
    while (hasWaiters()) {
      const gapMs = lastCallAt + MIN_CALL_GAP_MS - now();
      if (gapMs > 0) await new Promise((resolve) => setTimeout(resolve, gapMs));
      await callLeader();
    }
    isCalling = false;
  }

  return {
    limitOf,
    async acquire(servers, priority) {
      const ready = servers.find(takeReturned);
      if (ready) return ready;
      if (now() < leaderSilentUntil) return takeTurn(servers);
      const open = servers.filter((it) => !holdOf(it, priority));
      if (open.length === 0) {
        groupOf(servers, priority).refused += 1;
        return undefined;
      }
      const granted = new Promise<LimitedServer | undefined>((resolve) => {
        groupOf(open, priority).waiters.push({ servers: open, priority, resolve });
      });
      void callForWaiters();
      const server = await granted;
      return open.find((it) => it === server);
    },
    giveBack(server) {
      const { id } = server.entry;
      returned.set(id, [...(returned.get(id) ?? []), now() + RETURNED_TTL_MS]);
    },
    retryAfterMs(servers, priority) {
      const known = servers.flatMap((it) => holdOf(it, priority) ?? []);
      const waitMs = Math.max(0, Math.min(...known.map((it) => it.until)) - now());
      const spreadMs = Math.max(MIN_SPREAD_MS, ...known.map((it) => it.spreadMs));
      return (
        Math.min(MAX_WAIT_MS, Number.isFinite(waitMs) ? waitMs : 0) +
        random() * Math.min(MAX_SPREAD_MS, spreadMs)
      );
    },
  };
}
