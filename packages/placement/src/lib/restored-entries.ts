import type { ServerEntry } from '@boragepoint/platform';

/** Maximum number of removed entries that are remembered; the oldest are dropped first. */
const MAX_REMOVED = 2_000;

/** Returns whether an entry describes an earlier moment of a server than another one. */
function isOlder(a: ServerEntry, b: ServerEntry): boolean {
  if (a.startedMs !== b.startedMs) return a.startedMs < b.startedMs;
  return a.heartbeat < b.heartbeat;
}

/**
 * Tells entries of an older copy of the registry from present ones. When the store comes back from
 * a copy, servers write their entries again within a while. Until then, what a router has seen
 * later than the copy is nearer to the truth.
 */
export interface RestoredEntries {
  /** Remembers an entry that the registry no longer has. */
  noteRemoved(entry: ServerEntry): void;
  /**
   * Returns whether an entry is older than what is known about its server: the entry `known`, or
   * its removal.
   */
  isOutdated(entry: ServerEntry, known: ServerEntry | undefined): boolean;
}

/** Creates an empty memory of removed entries. */
export function createRestoredEntries(): RestoredEntries {
  const removed = new Map<string, ServerEntry>();

  return {
    noteRemoved(entry) {
      removed.delete(entry.id);
      removed.set(entry.id, entry);
      for (const oldest of removed.keys()) {
        if (removed.size <= MAX_REMOVED) break;
        removed.delete(oldest);
      }
    },
    isOutdated(entry, known) {
      if (known) return isOlder(entry, known);
      const last = removed.get(entry.id);
      return last !== undefined && !isOlder(last, entry);
    },
  };
}
