import type { LedgerClock } from '../ledger/ledger-clock.js';
import type { QuarantineConfig } from './quarantine-config.js';
import { type QuarantineEntry, supersedes } from './quarantine-entry.js';

/** What a change makes of a request. */
export type EntryKind = 'suspect' | 'quarantined' | 'released';

/** The entries that one router holds. */
export interface EntryStore {
  /** Returns the entry in force; lapsed and released ones count for nothing. */
  find(service: string, fingerprint: string): QuarantineEntry | undefined;
  /** Takes an entry in unless the one held is newer. */
  put(entry: QuarantineEntry): void;
  /** Makes and holds a change that is newer than the entry held. */
  change(service: string, fingerprint: string, kind: EntryKind): QuarantineEntry;
  /** Returns up to `limit` entries; calls in turn go through all of them. */
  nextPage(limit: number): QuarantineEntry[];
  all(): QuarantineEntry[];
}

function keyOf(service: string, fingerprint: string): string {
  return `${service}/${fingerprint}`;
}

/** Creates the store of entries of one router. @internal */
export function createEntryStore(cfg: QuarantineConfig, clock: LedgerClock): EntryStore {
  const held = new Map<string, QuarantineEntry>();
  const lifetimeMs = {
    suspect: cfg.suspectMs,
    quarantined: cfg.quarantineMs,
    released: cfg.releasedMs,
  };
  let position = 0;

  /** A bar that lapsed leaves a suspect behind; a suspect that lapsed leaves nothing. */
  function effectiveEntry(entry: QuarantineEntry): QuarantineEntry | undefined {
    const now = clock.wallNow();
    if (entry.expiresAtMs > now) return entry;
    const suspectUntilMs = entry.expiresAtMs + cfg.suspectMs;
    if (entry.suspect || entry.released || suspectUntilMs <= now) return undefined;
    return { ...entry, suspect: true, expiresAtMs: suspectUntilMs };
  }

  function removeExpired(): void {
    for (const [key, entry] of held) if (effectiveEntry(entry) === undefined) held.delete(key);
  }

  function dropOldest(): void {
    const entries = [...held];
    const oldest = entries.find(([, it]) => it.suspect || it.released) ?? entries[0];
    if (oldest !== undefined) held.delete(oldest[0]);
  }

  function put(entry: QuarantineEntry): void {
    const key = keyOf(entry.service, entry.fingerprint);
    if (effectiveEntry(entry) === undefined || !supersedes(entry, held.get(key))) return;
    held.delete(key);
    held.set(key, entry);
    if (held.size <= cfg.maxEntries) return;
    removeExpired();
    if (held.size > cfg.maxEntries) dropOldest();
  }

  return {
    find(service, fingerprint) {
      const entry = held.get(keyOf(service, fingerprint));
      return entry === undefined || entry.released ? undefined : effectiveEntry(entry);
    },
    put,
    change(service, fingerprint, kind) {
      const now = clock.wallNow();
      const old = held.get(keyOf(service, fingerprint));
      const entry: QuarantineEntry = {
        service,
        fingerprint,
        suspect: kind === 'suspect',
        released: kind === 'released',
        expiresAtMs: now + lifetimeMs[kind],
        // A clock that stands behind a peer's must not make this change look older.
        changedAtMs: Math.max(now, (old?.changedAtMs ?? 0) + 1),
      };
      put(entry);
      return entry;
    },
    nextPage(limit) {
      removeExpired();
      const entries = [...held.values()];
      const start = position < entries.length ? position : 0;
      const page = entries.slice(start, start + limit);
      position = start + page.length;
      return page;
    },
    all() {
      removeExpired();
      return [...held.values()];
    },
  };
}
