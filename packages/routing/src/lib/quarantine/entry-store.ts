import type { LedgerClock } from '../ledger/ledger-clock.js';
import type { QuarantineConfig } from './quarantine-config.js';
import { type QuarantineEntry, supersedes } from './quarantine-entry.js';

/** State that a change gives to a request. */
export type EntryKind = 'suspect' | 'quarantined' | 'released';

/** The quarantine entries of one router. */
export interface EntryStore {
  /** Returns the effective entry; `undefined` if there is none or it is expired or released. */
  find(service: string, fingerprint: string): QuarantineEntry | undefined;
  /** Stores an entry unless the stored one supersedes it. */
  put(entry: QuarantineEntry): void;
  /** Creates and stores an entry that is newer than the stored one. */
  change(service: string, fingerprint: string, kind: EntryKind): QuarantineEntry;
  /** Returns up to `limit` entries; successive calls iterate over all entries. */
  nextPage(limit: number): QuarantineEntry[];
  all(): QuarantineEntry[];
}

function keyOf(service: string, fingerprint: string): string {
  return `${service}/${fingerprint}`;
}

/** Creates an empty entry store. @internal */
export function createEntryStore(cfg: QuarantineConfig, clock: LedgerClock): EntryStore {
  const stored = new Map<string, QuarantineEntry>();
  const lifetimeMs = {
    suspect: cfg.suspectMs,
    quarantined: cfg.quarantineMs,
    released: cfg.releasedMs,
  };
  let position = 0;

  /**
   * Returns the entry as it applies now: an expired quarantine leaves a suspect for `suspectMs`,
   * any other expired entry leaves nothing.
   */
  function effectiveEntry(entry: QuarantineEntry): QuarantineEntry | undefined {
    const now = clock.wallNow();
    if (entry.expiresAtMs > now) return entry;
    const suspectUntilMs = entry.expiresAtMs + cfg.suspectMs;
    if (entry.suspect || entry.released || suspectUntilMs <= now) return undefined;
    return { ...entry, suspect: true, expiresAtMs: suspectUntilMs };
  }

  function removeExpired(): void {
    for (const [key, entry] of stored) if (effectiveEntry(entry) === undefined) stored.delete(key);
  }

  function dropOldest(): void {
    const entries = [...stored];
    const oldest = entries.find(([, it]) => it.suspect || it.released) ?? entries[0];
    if (oldest !== undefined) stored.delete(oldest[0]);
  }

  function put(entry: QuarantineEntry): void {
    const key = keyOf(entry.service, entry.fingerprint);
    if (effectiveEntry(entry) === undefined || !supersedes(entry, stored.get(key))) return;
    stored.delete(key);
    stored.set(key, entry);
    if (stored.size <= cfg.maxEntries) return;
    removeExpired();
    if (stored.size > cfg.maxEntries) dropOldest();
  }

  return {
    find(service, fingerprint) {
      const entry = stored.get(keyOf(service, fingerprint));
      return entry === undefined || entry.released ? undefined : effectiveEntry(entry);
    },
    put,
    change(service, fingerprint, kind) {
      const now = clock.wallNow();
      const previous = stored.get(keyOf(service, fingerprint));
      const entry: QuarantineEntry = {
        service,
        fingerprint,
        suspect: kind === 'suspect',
        released: kind === 'released',
        expiresAtMs: now + lifetimeMs[kind],
        // Ensures that this change wins even if this clock is behind that of a peer.
        changedAtMs: Math.max(now, (previous?.changedAtMs ?? 0) + 1),
      };
      put(entry);
      return entry;
    },
    nextPage(limit) {
      removeExpired();
      const entries = [...stored.values()];
      const start = position < entries.length ? position : 0;
      const page = entries.slice(start, start + limit);
      position = start + page.length;
      return page;
    },
    all() {
      removeExpired();
      return [...stored.values()];
    },
  };
}
