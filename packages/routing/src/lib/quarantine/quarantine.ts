import * as v from 'valibot';

import { type LedgerClock, systemClock, untilDeadline } from '../ledger/ledger-clock.js';
import { type EntryKind, createEntryStore } from './entry-store.js';
import { type QuarantineConfigInput, quarantineConfigSchema } from './quarantine-config.js';
import type { QuarantineEntry } from './quarantine-entry.js';
import { type ServerLock, createServerLock } from './server-lock.js';

/** What a quarantine needs. */
export interface QuarantineOptions {
  readonly config?: QuarantineConfigInput;
  readonly clock?: LedgerClock;
  /** Offers changed entries to all peers; resolves when every live one has taken them. */
  readonly broadcast?: (entries: readonly QuarantineEntry[]) => Promise<void>;
}

/** One request on its way to one backend server. */
export interface QuarantineRun {
  /**
   * True for a suspect. Nothing else runs at this backend server through this router meanwhile. It
   * needs a new connection: the reset of an idle one would count as a second loss.
   */
  readonly isExclusive: boolean;
  /** The backend server answered, so this request does not crash servers. */
  answered(): void;
  /** The run ended without telling anything: refused, timed out, cancelled, never connected. */
  ended(): void;
  /**
   * The connection died while the request was in flight. Resolves when the peers know, or after
   * `spreadMs`: the caller is answered only then, since it may come back through any of them.
   */
  lost(): Promise<void>;
}

/** Whether a request may be sent to a backend server. */
export type Admission =
  | { readonly kind: 'run'; readonly run: QuarantineRun }
  /** Barred: not run. */
  | { readonly kind: 'quarantined'; readonly retryAfterMs: number }
  /** No turn came before the deadline: not run. */
  | { readonly kind: 'too-late' };

/** A request to be sent to a backend server. */
export interface QuarantineRequest {
  readonly service: string;
  readonly fingerprint: string;
  readonly server: string;
  /** Time by which the run must have begun, in milliseconds of the monotonic clock. */
  readonly deadlineAt: number;
}

/** Keeps requests that crash backend servers from crashing more than two. */
export interface Quarantine {
  /** Waits for a turn at the backend server; alone if the request is suspect. */
  admit(req: QuarantineRequest): Promise<Admission>;
  /** Tells whether a request is barred, without a turn: for a refusal on arrival. */
  quarantinedForMs(service: string, fingerprint: string): number | undefined;
  /**
   * Tells whether a request is suspect. Suspects are run by the owner's keeper, so that two
   * routers do not run two of them side by side and bar the innocent one with the other.
   */
  isSuspect(service: string, fingerprint: string): boolean;
  /** Takes entries in from a peer; the newest change of a request wins. */
  merge(entries: readonly QuarantineEntry[]): void;
  /** Entries held, the newest change first; all of them for a peer that has just started. */
  entries(limit?: number): QuarantineEntry[];
  /** Entries for the next heartbeat; calls in turn go through all of them. */
  heartbeatEntries(limit: number): QuarantineEntry[];
  /** Barred requests, for an operator. */
  list(service?: string): QuarantineEntry[];
  /** Releases a request; returns whether it was barred or suspect. */
  release(service: string, fingerprint: string): Promise<boolean>;
}

/**
 * Creates the quarantine of one router. A request in flight on a connection that dies is suspect;
 * it runs alone next. An answered run clears it. A second loss while it is suspect bars it on every
 * router. Entries of all routers merge by time of change.
 */
export function createQuarantine(options: QuarantineOptions = {}): Quarantine {
  const cfg = v.parse(quarantineConfigSchema, options.config ?? {});
  const clock = options.clock ?? systemClock;
  const broadcast = options.broadcast ?? (() => Promise.resolve());
  const store = createEntryStore(cfg, clock);
  const locks = new Map<string, ServerLock>();

  /** Makes a change and waits until the peers have it, within bounds. */
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
