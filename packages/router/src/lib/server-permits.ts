import type { IncarnationId, PermitsReply, WantedPermits } from '@boragepoint/placement';

import { createLoneShare } from './lone-share.js';
import { type PooledServer, incarnationOf } from './server-pool.js';

/** Time for which a permit that was given back can be used, in milliseconds. */
const RETURNED_TTL_MS = 250;
/** Time for which a leader that did not answer is not asked again, in milliseconds. */
const SILENT_LEADER_MS = 500;
/**
 * Time without an answer of a leader after which routers take turns, in milliseconds. Until then it
 * may still be giving permits to the others.
 */
const LEADER_LOST_MS = 2_000;
/** Shortest time between two calls to the leader, in milliseconds. */
const MIN_CALL_GAP_MS = 20;
/** Longest time for which the leader is not asked for permits, whatever it says, in milliseconds. */
const MAX_HOLD_TIME_MS = 10_000;
/** Shortest and longest time until the first caller may come back, in milliseconds. */
const MIN_WAIT_MS = 100;
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

/** Lets a waiting request go on, with the server that it may be sent to. */
type Waiter = (server: LimitedServer | undefined) => void;

/** Requests of one priority that may go to the same servers, since the last call to the leader. */
interface RequestGroup {
  readonly servers: readonly LimitedServer[];
  readonly priority: number;
  /** Requests that wait for the leader's reply. */
  readonly waiters: Waiter[];
  /** Number of requests that were refused without asking. */
  refused: number;
}

/** When a router may ask again, and for how long room is then short, in milliseconds. */
interface Hold {
  readonly until: number;
  readonly spreadMs: number;
}

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
  let groups = new Map<string, RequestGroup>();
  let isCalling = false;
  let lastCallAt = -Infinity;
  let leaderSilentUntil = -Infinity;
  let leaderAnsweredAt = -Infinity;

  const limitOf = (server: LimitedServer) => options.limitOf(incarnationOf(server));
  const holdKey = (server: LimitedServer, priority: number) => `${server.entry.id} ${priority}`;

  function holdOf(server: LimitedServer, priority: number): Hold | undefined {
    const hold = holds.get(holdKey(server, priority));
    return hold && now() < hold.until ? hold : undefined;
  }

  function takeReturned(server: LimitedServer): boolean {
    const usable = (returned.get(server.entry.id) ?? []).filter((until) => until > now());
    const isTaken = usable.pop() !== undefined;
    if (usable.length > 0) returned.set(server.entry.id, usable);
    else returned.delete(server.entry.id);
    return isTaken;
  }

  function groupOf(servers: readonly LimitedServer[], priority: number): RequestGroup {
    const key = groupKey(servers, priority);
    const group = groups.get(key) ?? { servers, priority, waiters: [], refused: 0 };
    groups.set(key, group);
    return group;
  }

  /** Takes this router's own turn at one of the servers, if there is no leader. */
  function takeTurn<T extends LimitedServer>(servers: readonly T[]): T | undefined {
    if (now() < leaderAnsweredAt + LEADER_LOST_MS) return undefined;
    return servers.find((it) =>
      loneShare.take(incarnationOf(it), limitOf(it) ?? Infinity, options.routers()),
    );
  }

  function applyReply(group: RequestGroup, reply: PermitsReply): void {
    const { servers, priority, waiters } = group;
    if (reply.granted.length < waiters.length) {
      const holdTimeMs = Math.min(MAX_HOLD_TIME_MS, reply.holdTimeMs);
      const hold = { until: now() + holdTimeMs, spreadMs: reply.spreadMs };
      for (const server of servers) holds.set(holdKey(server, priority), hold);
    }
    waiters.forEach((resume, index) => {
      const id = reply.granted[index];
      resume(servers.find((it) => it.entry.id === id));
    });
  }

  async function callLeader(): Promise<void> {
    const asked = [...groups.values()];
    groups = new Map();
    const wanted = asked.map(({ servers, priority, waiters, refused }) => ({
      servers: servers.map((it) => it.entry.id),
      priority,
      count: waiters.length,
      refused,
    }));
    lastCallAt = now();
    for (const [key, { until }] of holds) if (until <= now()) holds.delete(key);
    const replies = await options.request(wanted);
    if (replies) leaderAnsweredAt = now();
    else leaderSilentUntil = now() + SILENT_LEADER_MS;
    asked.forEach((group, index) => {
      const reply = replies?.[index];
      if (reply) applyReply(group, reply);
      else for (const resume of group.waiters) resume(takeTurn(group.servers));
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
        groupOf(open, priority).waiters.push(resolve);
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
      // Without a leader nobody knows when there is room.
      if (known.length === 0) return MIN_WAIT_MS + random() * MAX_SPREAD_MS;
      const waitMs = Math.min(...known.map((it) => it.until)) - now();
      const spreadMs = Math.max(MIN_SPREAD_MS, ...known.map((it) => it.spreadMs));
      return (
        Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs)) +
        random() * Math.min(MAX_SPREAD_MS, spreadMs)
      );
    },
  };
}
