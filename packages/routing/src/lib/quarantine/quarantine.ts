import * as v from 'valibot';

import { type LedgerClock, systemClock, untilDeadline } from '../ledger/ledger-clock.js';
import { type QuarantineEntry, supersedes } from './quarantine-entry.js';
import { type ServerGate, createServerGate } from './server-gate.js';

function wholeNumber(min: number) {
  return v.pipe(v.number(), v.integer(), v.minValue(min));
}

/** Limits of the quarantine; times in milliseconds. */
export const quarantineConfigSchema = v.strictObject({
  /** Time that a request stays suspect without running. */
  suspectMs: v.optional(wholeNumber(1), 600_000),
  /** Time that a request is barred. Afterwards it is suspect again and runs alone. */
  quarantineMs: v.optional(wholeNumber(1), 3_600_000),
  /** Time that a released entry is kept, so that older news of it does not bring it back. */
  releasedMs: v.optional(wholeNumber(1), 600_000),
  /** Longest time that a lost run waits for the peers to hear of it. */
  spreadMs: v.optional(wholeNumber(0), 500),
  /** Most entries held; the oldest change is dropped first, suspects before barred ones. */
  maxEntries: v.optional(wholeNumber(1), 10_000),
});
export type QuarantineConfig = v.InferOutput<typeof quarantineConfigSchema>;
export type QuarantineConfigInput = v.InferInput<typeof quarantineConfigSchema>;

/** What a quarantine needs. */
export interface QuarantineOptions {
  readonly config?: QuarantineConfigInput;
  readonly clock?: LedgerClock;
  /** Offers changed entries to all peers; resolves when every live one has taken them. */
  readonly spread?: (entries: readonly QuarantineEntry[]) => Promise<void>;
}

/** One request on its way to one backend server. */
export interface QuarantineRun {
  /** True when nothing else may run at this backend server through this router meanwhile. */
  readonly runAlone: boolean;
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
  enter(req: QuarantineRequest): Promise<Admission>;
  /** Tells whether a request is barred, without a turn: for a refusal on arrival. */
  barredForMs(service: string, fingerprint: string): number | undefined;
  /** Tells whether a request is suspect and has to go through the owner's keeper. */
  isSuspect(service: string, fingerprint: string): boolean;
  /** Takes entries in from a peer. */
  merge(entries: readonly QuarantineEntry[]): void;
  /** Entries to send to peers, newest change first. */
  entries(limit?: number): QuarantineEntry[];
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
  const spread = options.spread ?? (() => Promise.resolve());
  const held = new Map<string, QuarantineEntry>();
  const gates = new Map<string, ServerGate>();

  const keyOf = (service: string, fingerprint: string) => `${service}/${fingerprint}`;

  /** Returns the entry in force: lapsed and released ones count for nothing. */
  function find(service: string, fingerprint: string): QuarantineEntry | undefined {
    const entry = held.get(keyOf(service, fingerprint));
    if (entry === undefined || entry.released) return undefined;
    return lapse(entry);
  }

  /** A bar that lapsed leaves a suspect behind; a suspect that lapsed leaves nothing. */
  function lapse(entry: QuarantineEntry): QuarantineEntry | undefined {
    const now = clock.wallNow();
    if (entry.expiresAtMs > now) return entry;
    if (entry.suspect || entry.expiresAtMs + cfg.suspectMs <= now) return undefined;
    return { ...entry, suspect: true, expiresAtMs: entry.expiresAtMs + cfg.suspectMs };
  }

  function put(entry: QuarantineEntry): void {
    const key = keyOf(entry.service, entry.fingerprint);
    if (!supersedes(entry, held.get(key))) return;
    held.delete(key);
    held.set(key, entry);
    if (held.size > cfg.maxEntries) dropOne();
  }

  function dropOne(): void {
    const entries = [...held];
    const [key] = entries.find(([, entry]) => entry.suspect || entry.released) ?? entries[0] ?? [];
    if (key !== undefined) held.delete(key);
  }

  function removeLapsed(): void {
    const now = clock.wallNow();
    for (const [key, entry] of held) {
      if (entry.expiresAtMs + cfg.suspectMs <= now) held.delete(key);
    }
  }

  /** Stores a change made here and offers it to the peers. */
  async function change(
    service: string,
    fingerprint: string,
    kind: 'suspect' | 'barred' | 'released',
  ): Promise<void> {
    const now = clock.wallNow();
    const old = held.get(keyOf(service, fingerprint));
    const lifeMs = { suspect: cfg.suspectMs, barred: cfg.quarantineMs, released: cfg.releasedMs };
    const entry: QuarantineEntry = {
      service,
      fingerprint,
      suspect: kind === 'suspect',
      released: kind === 'released',
      expiresAtMs: now + lifeMs[kind],
      // A clock that stands behind a peer's must not make this change look older.
      changedAtMs: Math.max(now, (old?.changedAtMs ?? 0) + 1),
    };
    removeLapsed();
    put(entry);
    await untilDeadline(
      spread([entry]).catch(() => undefined),
      systemClock.now() + cfg.spreadMs,
      systemClock,
    );
  }

  function gateOf(server: string): ServerGate {
    const gate = gates.get(server) ?? createServerGate();
    gates.set(server, gate);
    return gate;
  }

  function startRun(req: QuarantineRequest, runAlone: boolean): QuarantineRun {
    const { service, fingerprint, server } = req;
    let isOver = false;
    function leave(): boolean {
      if (isOver) return false;
      isOver = true;
      const gate = gateOf(server);
      gate.leave(runAlone);
      if (gate.isIdle()) gates.delete(server);
      return true;
    }
    return {
      runAlone,
      answered() {
        const isSuspect = find(service, fingerprint)?.suspect === true;
        if (leave() && isSuspect) void change(service, fingerprint, 'released');
      },
      ended() {
        leave();
      },
      async lost() {
        const isSecond = runAlone;
        const isBarred = find(service, fingerprint)?.suspect === false;
        if (!leave() || isBarred) return;
        await change(service, fingerprint, isSecond ? 'barred' : 'suspect');
      },
    };
  }

  function barredForMs(service: string, fingerprint: string): number | undefined {
    const entry = find(service, fingerprint);
    if (entry === undefined || entry.suspect) return undefined;
    return entry.expiresAtMs - clock.wallNow();
  }

  function isSuspect(service: string, fingerprint: string): boolean {
    return find(service, fingerprint)?.suspect === true;
  }

  async function enter(req: QuarantineRequest): Promise<Admission> {
    const { service, fingerprint, server, deadlineAt } = req;
    for (;;) {
      const retryAfterMs = barredForMs(service, fingerprint);
      if (retryAfterMs !== undefined) return { kind: 'quarantined', retryAfterMs };
      const alone = isSuspect(service, fingerprint);
      const gate = gateOf(server);
      if (!(await gate.enter(alone, deadlineAt))) return { kind: 'too-late' };
      const isStillSo =
        barredForMs(service, fingerprint) === undefined &&
        isSuspect(service, fingerprint) === alone;
      if (isStillSo) return { kind: 'run', run: startRun(req, alone) };
      gate.leave(alone);
    }
  }

  return {
    enter,
    barredForMs,
    isSuspect,
    merge(entries) {
      for (const entry of entries) put(entry);
    },
    entries(limit = cfg.maxEntries) {
      removeLapsed();
      const newestFirst = [...held.values()].sort((a, b) => b.changedAtMs - a.changedAtMs);
      return newestFirst.slice(0, limit);
    },
    list(service) {
      return [...held.values()]
        .filter((entry) => service === undefined || entry.service === service)
        .filter((entry) => barredForMs(entry.service, entry.fingerprint) !== undefined);
    },
    async release(service, fingerprint) {
      const known = find(service, fingerprint) !== undefined;
      await change(service, fingerprint, 'released');
      return known;
    },
  };
}
