import { type IncarnationId, type ServerDirectory } from './server-directory.js';

/**
 * Answers overtake one another: an answer without a limit that arrives this soon after one with a
 * limit, in milliseconds, may have been written before it.
 */
const OVERTAKING_MS = 100;
/**
 * Time for which the end of a limit is remembered, and the limit of a server that the registry does
 * not list, in milliseconds.
 */
const UNUSED_TTL_MS = 30_000;
/** Maximum number of servers in the record; the oldest notices are dropped first. */
const MAX_SERVERS = 2_000;

/** What an incarnation of a backend server last said about the requests it takes. */
export interface LimitNotice extends IncarnationId {
  /**
   * Requests per second that the server takes from all routers together; `undefined` if it no
   * longer names a limit.
   */
  readonly perS: number | undefined;
  /** When the notice was received by the first router, in milliseconds of the monotonic clock. */
  readonly seenAt: number;
}

/** Effect of an answer on the record. */
export type LimitChange = 'named' | 'changed' | 'ended' | 'none';

/** Limits that backend servers name in their answers, as known to one router. */
export interface ServerLimits {
  /** Returns the limit of an incarnation, in requests per second; `undefined` without one. */
  limitOf(incarnation: IncarnationId): number | undefined;
  /** Returns the last notice about a server, of whichever incarnation. */
  noticeOf(server: string): LimitNotice | undefined;
  /** Records what an answer says: a limit in requests per second, or none. */
  observe(incarnation: IncarnationId, perS: number | undefined): LimitChange;
  /** Merges notices of another router; the newest notice about a server counts. */
  merge(notices: readonly LimitNotice[]): readonly LimitNotice[];
  /** Number of the last change; 0 without any. */
  change(): number;
  /** Notices that changed after the change with a number. */
  since(change: number): LimitNotice[];
  /** Drops notices of incarnations that the registry no longer lists, and old ends of limits. */
  prune(directory: Pick<ServerDirectory, 'get'>): void;
}

interface Entry {
  readonly notice: LimitNotice;
  readonly change: number;
}

/** Creates an empty record; `now` is in milliseconds of a monotonic clock. */
export function createServerLimits(now: () => number): ServerLimits {
  const entries = new Map<string, Entry>();
  let lastChange = 0;

  function known({ server, startedMs }: IncarnationId): LimitNotice | undefined {
    const notice = entries.get(server)?.notice;
    return notice?.startedMs === startedMs ? notice : undefined;
  }

  function put(notice: LimitNotice): void {
    lastChange += 1;
    entries.delete(notice.server);
    entries.set(notice.server, { notice, change: lastChange });
    for (const oldest of entries.keys()) {
      if (entries.size <= MAX_SERVERS) break;
      entries.delete(oldest);
    }
  }

  /** Notes that a limit still holds, which is no news for other routers. */
  function confirm(notice: LimitNotice): void {
    const entry = entries.get(notice.server);
    if (entry) entries.set(notice.server, { ...entry, notice });
  }

  function isNewer(notice: LimitNotice): boolean {
    const last = entries.get(notice.server)?.notice;
    if (!last) return true;
    if (last.startedMs !== notice.startedMs) return notice.startedMs > last.startedMs;
    return notice.seenAt >= last.seenAt;
  }

  return {
    noticeOf: (server) => entries.get(server)?.notice,
    limitOf: (incarnation) => known(incarnation)?.perS,
    observe({ server, startedMs }, perS) {
      const notice = { server, startedMs, perS, seenAt: now() };
      const before = known(notice);
      if (before?.perS === perS) {
        if (before && perS !== undefined) confirm(notice);
        return 'none';
      }
      const mayBeOvertaken = perS === undefined && now() < (before?.seenAt ?? 0) + OVERTAKING_MS;
      if (mayBeOvertaken || !isNewer(notice)) return 'none';
      put(notice);
      if (perS === undefined) return 'ended';
      return before?.perS === undefined ? 'named' : 'changed';
    },
    merge(notices) {
      const merged = notices.filter(isNewer);
      const changed = merged.filter((it) => known(it)?.perS !== it.perS);
      for (const notice of merged) {
        if (changed.includes(notice)) put(notice);
        else confirm(notice);
      }
      return changed;
    },
    change: () => lastChange,
    since: (change) =>
      [...entries.values()].filter((it) => it.change > change).map((it) => it.notice),
    prune(directory) {
      for (const [server, { notice }] of entries) {
        const started = directory.get(server)?.entry.startedMs;
        const isReplaced = started !== undefined && started > notice.startedMs;
        const isUnused = notice.perS === undefined || started === undefined;
        if (isReplaced || (isUnused && now() > notice.seenAt + UNUSED_TTL_MS))
          entries.delete(server);
      }
    },
  };
}
