import * as v from 'valibot';

import { type LedgerClock, systemClock, untilDeadline } from '../ledger/ledger-clock.js';
import { type EntryKind, createEntryStore } from './entry-store.js';
import { type QuarantineConfigInput, quarantineConfigSchema } from './quarantine-config.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { type ServerLock, createServerLock } from './server-lock.js';

/** Options of {@link createQuarantine}. */
export interface QuarantineOptions {
  readonly config?: QuarantineConfigInput;
  readonly clock?: LedgerClock;
  /** Sends changed entries to all peers; resolves when every live peer has received them. */
  readonly broadcast?: (entries: readonly QuarantineEntry[]) => Promise<void>;
}

/** One run of a request at one backend server. */
export interface QuarantineRun {
  /**
   * True for a suspect. This router runs nothing else at the backend server meanwhile. The run
   * needs a new connection, since the reset of an idle one would count as a second loss.
   */
  readonly isExclusive: boolean;
  /** Ends the run: the backend server answered, so the request does not crash servers. */
  answered(): void;
  /** Ends the run without a conclusion: refused, timed out, cancelled or not connected. */
  ended(): void;
  /**
   * Ends the run: the connection was lost while the request was in flight. Resolves when the peers
   * have received the entry, or after `spreadMs`. The caller must be answered only then, since it
   * may send its repeat through any peer.
   */
  lost(): Promise<void>;
}

/** Decision on whether a request may be sent to a backend server. */
export type Admission =
  | { readonly kind: 'run'; readonly run: QuarantineRun }
  /** The request is quarantined: not run. */
  | { readonly kind: 'quarantined'; readonly retryAfterMs: number }
  /** The server's lock was not granted before the deadline: not run. */
  | { readonly kind: 'too-late' };

/** A request that asks to run at a backend server. */
export interface QuarantineRequest {
  readonly service: string;
  readonly fingerprint: string;
  readonly server: string;
  /** Time by which the run must have started, in milliseconds of the monotonic clock. */
  readonly deadlineAt: number;
}

/** Prevents a request that crashes backend servers from crashing more than two. */
export interface Quarantine {
  /** Waits until the request may run at the backend server; a suspect must run there alone. */
  admit(req: QuarantineRequest): Promise<Admission>;
  /**
   * Returns the remaining time of a quarantine, for a refusal on arrival; otherwise `undefined`.
   */
  quarantinedForMs(service: string, fingerprint: string): number | undefined;
  /**
   * True if a request is suspect. Suspects are run by the owner's keeper: if two routers ran a
   * suspect each at the same server, a crash would quarantine both requests, although only one of
   * them caused it.
   */
  isSuspect(service: string, fingerprint: string): boolean;
  /** Merges entries of a peer; the newest change of a request takes precedence. */
  merge(entries: readonly QuarantineEntry[]): void;
  /**
   * Returns entries, newest change first; without a limit all, for a peer that has just started.
   */
  entries(limit?: number): QuarantineEntry[];
  /** Returns entries for the next heartbeat; successive calls iterate over all entries. */
  heartbeatEntries(limit: number): QuarantineEntry[];
  /** Returns the entries of quarantined requests. */
  list(service?: string): QuarantineEntry[];
  /** Releases a request; resolves to true if it was quarantined or suspect. */
  release(service: string, fingerprint: string): Promise<boolean>;
}

/**
 * Creates the quarantine of one router. A request that was in flight on a lost connection is
 * suspect, and its next run is exclusive. If that run is answered, the request is released; if its
 * connection is lost too, the request is quarantined on every router. Entries of all routers are
 * merged by the time of their change.
 */
export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const cfg = v.parse(quarantineConfigSchema, options.config ?? {});
  const clock = options.clock ?? systemClock;
  const broadcast = options.broadcast ?? (() => Promise.resolve());
  const store = createEntryStore(cfg, clock);
  const locks = new Map<string, ServerLock>();

  /** Stores a change and waits, up to `spreadMs`, until the peers have received it. */
  async function change(service: string, fingerprint: string, kind: EntryKind): Promise<void> {
    const entry = store.change(service, fingerprint, kind);
    const delivered = broadcast([entry]).catch(() => undefined);
    await untilDeadline(delivered, systemClock.now() + cfg.spreadMs, systemClock);
  }

  function lockOf(server: string): ServerLock {
    const lock = locks.get(server) ?? createServerLock();
    locks.set(server, lock);
    return lock;
  }

  function startRun(req: QuarantineRequest, isExclusive: boolean): QuarantineRun {
    const { service, fingerprint, server } = req;
    let hasEnded = false;
    function releaseLock(): boolean {
      if (hasEnded) return false;
      hasEnded = true;
      const lock = lockOf(server);
      lock.release(isExclusive);
      if (lock.isIdle()) locks.delete(server);
      return true;
    }
    return {
      isExclusive,
      answered() {
        const isSuspect = store.find(service, fingerprint)?.suspect === true;
        if (releaseLock() && isSuspect) void change(service, fingerprint, 'released');
      },
      ended() {
        releaseLock();
      },
      async lost() {
        const isSecondLoss = isExclusive;
        const isQuarantined = store.find(service, fingerprint)?.suspect === false;
        if (!releaseLock() || isQuarantined) return;
        await change(service, fingerprint, isSecondLoss ? 'quarantined' : 'suspect');
      },
    };
  }

  function quarantinedForMs(service: string, fingerprint: string): number | undefined {
    const entry = store.find(service, fingerprint);
    if (entry === undefined || entry.suspect) return undefined;
    return entry.expiresAtMs - clock.wallNow();
  }

  function isSuspect(service: string, fingerprint: string): boolean {
    return store.find(service, fingerprint)?.suspect === true;
  }

  async function admit(req: QuarantineRequest): Promise<Admission> {
    const { service, fingerprint, server, deadlineAt } = req;
    for (;;) {
      const retryAfterMs = quarantinedForMs(service, fingerprint);
      if (retryAfterMs !== undefined) return { kind: 'quarantined', retryAfterMs };
      const exclusive = isSuspect(service, fingerprint);
      const lock = lockOf(server);
      if (!(await lock.acquire(exclusive, deadlineAt))) return { kind: 'too-late' };
      const isUnchanged =
        quarantinedForMs(service, fingerprint) === undefined &&
        isSuspect(service, fingerprint) === exclusive;
      if (isUnchanged) return { kind: 'run', run: startRun(req, exclusive) };
      lock.release(exclusive);
    }
  }

  return {
    admit,
    quarantinedForMs,
    isSuspect,
    merge(entries) {
      for (const entry of entries) store.put(entry);
    },
    entries(limit) {
      const newestFirst = store.all().sort((a, b) => b.changedAtMs - a.changedAtMs);
      return newestFirst.slice(0, limit);
    },
    heartbeatEntries: (limit) => store.nextPage(limit),
    list(service) {
      return store
        .all()
        .filter((entry) => service === undefined || entry.service === service)
        .filter((entry) => quarantinedForMs(entry.service, entry.fingerprint) !== undefined);
    },
    async release(service, fingerprint) {
      const wasActive = store.find(service, fingerprint) !== undefined;
      await change(service, fingerprint, 'released');
      return wasActive;
    },
  };
}
