import type { ServerEntry } from '@boragepoint/platform';

/** When a backend server is cold, as its registry entry says. */
export interface ColdPeriod {
  /** End of the period, on the monotonic clock; `-Infinity` if there was none. */
  readonly until: number;
  /** Duration of the period, in milliseconds. */
  readonly forMs: number;
  /** When the entry that says so was received, on the monotonic clock. */
  readonly statedAt: number;
}

/** The cold period of a server that has never been cold. */
export const NEVER_COLD: ColdPeriod = { until: -Infinity, forMs: 0, statedAt: -Infinity };

type ColdEntry = Pick<ServerEntry, 'startedMs' | 'warmUpMs' | 'heartbeat'>;

/** An entry of a server that was received before, and the cold period known by then. */
export interface FormerEntry {
  readonly entry: ColdEntry;
  readonly cold: ColdPeriod;
}

/** Returns whether an entry states the remaining time anew, rather than being received again. */
function isStatedAnew(entry: ColdEntry, { entry: former, cold }: FormerEntry, now: number) {
  if (entry.warmUpMs !== former.warmUpMs) return true;
  // A server whose heartbeats repeat the time of its start would otherwise stay cold for ever.
  return entry.heartbeat > former.heartbeat && now >= cold.statedAt + entry.warmUpMs;
}

/** Returns the cold period of a server after an entry was received. */
export function coldPeriodOf(
  entry: ColdEntry,
  known: FormerEntry | undefined,
  now: number,
): ColdPeriod {
  const former = known?.entry.startedMs === entry.startedMs ? known : undefined;
  const statedAt = now;
  if (former && !isStatedAnew(entry, former, now)) {
    const isHeartbeat = entry.heartbeat > former.entry.heartbeat;
    return isHeartbeat ? { ...former.cold, statedAt } : former.cold;
  }
  if (entry.warmUpMs <= 0) return { ...NEVER_COLD, statedAt };
  // The remaining time of a period that goes on is not the duration of a new one.
  const wasCold = former !== undefined && now < former.cold.until;
  const forMs = wasCold ? Math.max(former.cold.forMs, entry.warmUpMs) : entry.warmUpMs;
  return { until: now + entry.warmUpMs, forMs, statedAt };
}
