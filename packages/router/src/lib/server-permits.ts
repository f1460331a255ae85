import type { PermitsReply, ServerRates, WantedPermits } from '@boragepoint/placement';

import {
  ADVANCE_TTL_AFTER_CALL_MS,
  ADVANCE_TTL_MS,
  type AdvanceGroup,
  createAdvanceDemand,
} from './advance-demand.js';
import { createHeldPermits } from './held-permits.js';
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

/** Permits to send requests to servers with a rate limit. */
export interface ServerPermits {
  /** Returns the rate limit of a server, in requests per second; `undefined` without one. */
  limitOf(server: LimitedServer): number | undefined;
  /** Returns whether the server has a rate limit because it is cold. */
  isCold(server: LimitedServer): boolean;
  /**
   * Takes a permit for a request that may go to any of these servers, the preferred one first.
   * Resolves to `undefined` at once, or after one call to the leader, if there is none.
   */
  acquire<T extends LimitedServer>(servers: readonly T[], priority: number): Promise<T | undefined>;
  /**
   * Takes a permit for one of a group's servers if this router holds one or has a turn of its own;
   * returns `undefined` at once otherwise. Then a call asks for the requests that are expected next.
   */
  takeHeld<T extends LimitedServer>(group: AdvanceGroup<T>): T | undefined;
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
  readonly rates: Pick<ServerRates, 'limitOf' | 'isCold'>;
  /** Asks the leader; see `PlacementMember.requestPermits`. */
  request(
    wanted: readonly WantedPermits[],
    areCallersWaiting: boolean,
  ): Promise<readonly PermitsReply[] | undefined>;
  /** Called after each call to the leader. */
  onCall?(isAnswered: boolean): void;
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
  /** Number of permits to ask for in advance. */
  readonly ahead: number;
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
  const held = createHeldPermits(now);
  const advance = createAdvanceDemand<LimitedServer>({
    isOpen: (server, priority) => !holdOf(server, priority),
    now,
    random,
  });
  let groups = new Map<string, RequestGroup>();
  let isCalling = false;
  let lastCallAt = -Infinity;
  let leaderSilentUntil = -Infinity;
  let leaderAnsweredAt = -Infinity;

  const limitOf = (server: LimitedServer) => options.rates.limitOf(incarnationOf(server));
  const holdKey = (server: LimitedServer, priority: number) => `${server.entry.id} ${priority}`;

  function holdOf(server: LimitedServer, priority: number): Hold | undefined {
    const hold = holds.get(holdKey(server, priority));
    return hold && now() < hold.until ? hold : undefined;
  }

  const takeHeldOf = (server: LimitedServer) => held.take(server.entry.id);

  function groupOf(servers: readonly LimitedServer[], priority: number): RequestGroup {
    const key = groupKey(servers, priority);
    const group = groups.get(key) ?? { servers, priority, waiters: [], refused: 0, ahead: 0 };
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
    const { servers, priority, waiters, ahead } = group;
    if (reply.granted.length < waiters.length + ahead) {
      const holdTimeMs = Math.min(MAX_HOLD_TIME_MS, reply.holdTimeMs);
      const hold = { until: now() + holdTimeMs, spreadMs: reply.spreadMs };
      for (const server of servers) holds.set(holdKey(server, priority), hold);
    }
    waiters.forEach((resume, index) => {
      const id = reply.granted[index];
      resume(servers.find((it) => it.entry.id === id));
    });
    // A reply that came late leaves less time, so that the delay of a request stays bounded.
    const ttlMs = Math.min(ADVANCE_TTL_MS, lastCallAt + ADVANCE_TTL_AFTER_CALL_MS - now());
    for (const id of reply.granted.slice(waiters.length, waiters.length + ahead)) {
      held.put(id, ttlMs);
    }
  }

  async function callLeader(): Promise<void> {
    const inAdvance = advance.take().map(({ servers, priority, count }) => {
      return { servers, priority, waiters: [], refused: 0, ahead: count };
    });
    const asked: readonly RequestGroup[] = [...groups.values(), ...inAdvance];
    if (!hasWaiters() && inAdvance.length === 0) return;
    groups = new Map();
    const wanted = asked.map(({ servers, priority, waiters, refused, ahead }) => ({
      servers: servers.map((it) => it.entry.id),
      priority,
      count: waiters.length + ahead,
      refused,
    }));
    const areCallersWaiting = asked.some((it) => it.waiters.length > 0);
    lastCallAt = now();
    for (const [key, { until }] of holds) if (until <= now()) holds.delete(key);
    const replies = await options.request(wanted, areCallersWaiting);
    options.onCall?.(replies !== undefined);
    if (replies) leaderAnsweredAt = now();
    else leaderSilentUntil = now() + SILENT_LEADER_MS;
    asked.forEach((group, index) => {
      const reply = replies?.[index];
      if (reply) applyReply(group, reply);
      else for (const resume of group.waiters) resume(takeTurn(group.servers));
    });
  }

  const hasWaiters = () => [...groups.values()].some((it) => it.waiters.length > 0);

  /** Calls the leader for those who wait and in advance, one call at a time. */
  async function callWhileWanted(): Promise<void> {
    if (isCalling) return;
    isCalling = true;
    while (hasWaiters() || advance.isDue()) {
      const gapMs = lastCallAt + MIN_CALL_GAP_MS - now();
      if (gapMs > 0) await new Promise((resolve) => setTimeout(resolve, gapMs));
      await callLeader();
    }
    isCalling = false;
  }

  return {
    limitOf,
    isCold: (server) => options.rates.isCold(incarnationOf(server)),
    takeHeld(group) {
      const ready = group.servers.find(takeHeldOf);
      if (now() < leaderSilentUntil) return ready ?? takeTurn(group.servers);
      advance.note(group);
      if (advance.isDue()) void callWhileWanted();
      return ready;
    },
    async acquire(servers, priority) {
      const ready = servers.find(takeHeldOf);
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
      void callWhileWanted();
      const server = await granted;
      return open.find((it) => it === server);
    },
    giveBack(server) {
      held.put(server.entry.id, RETURNED_TTL_MS);
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
