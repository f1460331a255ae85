import {
  type FleetPlatform,
  type PlatformError,
  type RowDelta,
  type RowSource,
  type RowUpdate,
  type RowWatcher,
  type ServerEntry,
  type StoredRow,
  type TableReport,
  type UnusableEntry,
  type WatchOutage,
  createRowWatch,
} from '@boragepoint/platform';

import { type ColdPeriod, coldPeriodOf } from './cold-period.js';
import type { ServerIncarnation } from './key-range.js';
import { createRestoredEntries } from './restored-entries.js';
import type { Clocks } from './suspension-guard.js';

/**
 * Time after the store's return during which a missing entry is not taken as removed, and an entry
 * that is older than what is known is not believed, in milliseconds.
 */
const STORE_RETURN_GRACE_MS = 2_000;
/** Share of a leaving server's notice that may pass between two polls of the registry. */
const MAX_PAUSE_SHARE = 0.25;
/** Maximum number of incarnations that are remembered as leaving; the oldest are dropped first. */
const MAX_LEAVING = 1_000;

/** An entry of the registry, and when it was received. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /**
   * Earliest time at which the entry can have got its current state (draining or not), on the
   * monotonic clock: a change may be seen long after the store has taken it.
   */
  readonly stateSince: number;
  /** When this incarnation is cold. */
  readonly cold: ColdPeriod;
  /**
   * When a heartbeat of this incarnation was received that is newer than one received before, on the
   * monotonic clock; -Infinity if none was.
   */
  readonly heartbeatAt: number;
}

/** Identifies one run of a server's process. */
export type IncarnationId = Pick<ServerIncarnation, 'server' | 'startedMs'>;

/** The backend servers in the service registry. */
export interface ServerDirectory {
  /**
   * Start of the gapless watch of the registry, on the monotonic clock; `Infinity` while the store
   * is lost.
   */
  currentSince(): number;
  /** See {@link RowWatch.confirmedAt}. */
  confirmedAt(): number;
  /** Returns false until the registry has been read once. */
  isLoaded(): boolean;
  get(id: string): KnownServer | undefined;
  /** Servers of a service, including draining ones. */
  ofService(service: string): readonly KnownServer[];
  /**
   * Records that an incarnation announced its own end. It counts as draining from now on, whatever
   * the registry says. Returns whether that was not known before.
   */
  noteLeaving(incarnation: IncarnationId): boolean;
  /** Incarnations that announced their own end and are not yet draining in the registry. */
  leaving(): readonly IncarnationId[];
  /**
   * Adds a listener that is called after changes, once for all that arrived together; `isNews` is
   * false if they were heartbeats only.
   */
  onChange(listener: (isNews: boolean) => void): void;
  /** Returns whether there were other changes than heartbeats after a version. */
  hasNewsSince(version: number): boolean;
  /** Watches the registry until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
  /**
   * Rows of the registry, for routers that the store does not serve; see
   * {@link RowWatch.deltaSince}.
   */
  rowsSince(version: number): RowDelta | undefined;
  /**
   * See {@link RowWatch.knownVersion}, {@link RowWatch.updateSince} and
   * {@link RowWatch.applyUpdate}.
   */
  knownVersion(): number;
  updateSince(version: number): RowUpdate | undefined;
  applyUpdate(update: RowUpdate): void;
  /** See {@link RowWatch.applyReport} and {@link RowWatch.tableReport}. */
  applyReport(report: TableReport): void;
  tableReport(): TableReport;
}

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly platform: Pick<FleetPlatform, 'store' | 'serverTable' | 'decodeServer'>;
  readonly clocks: Clocks;
  /** Source of rows while the store does not answer. */
  readonly fallback?: RowSource;
  /** How long before its end a server announces that it leaves, in milliseconds. */
  drainNoticeMs?(): number;
  /** Returns whether other routers get the registry from this one. */
  isRelayed?(): boolean;
  /** See {@link RowWatcher.onGivenUp}. */
  readonly onGivenUp?: (err: PlatformError) => void;
  readonly onLost?: (err: PlatformError) => void;
  readonly onRecovered?: (outage: WatchOutage) => void;
  readonly onReturn?: (difference: RegistryDifference) => void;
  /** Called with each row that describes no usable server, whenever it is received. */
  readonly onUnusable?: (entry: UnusableEntry) => void;
}

/** How the registry of a store that came back from an older copy differs from what was known. */
export interface RegistryDifference {
  readonly era: number;
  /** Number of known servers that are missing in it. */
  readonly missing: number;
  /** Number of its entries that are older than what is known. */
  readonly outdated: number;
}

const heartbeatAt = (known: KnownServer, entry: ServerEntry, now: number) =>
  entry.heartbeat > known.entry.heartbeat ? now : known.heartbeatAt;

/** Whether an entry differs from an earlier one only as each heartbeat makes it differ. */
const isHeartbeat = (before: ServerEntry, after: ServerEntry) =>
  after.startedMs === before.startedMs &&
  after.draining === before.draining &&
  after.address === before.address &&
  after.service === before.service &&
  after.availabilityZone === before.availabilityZone &&
  after.slots === before.slots &&
  after.warmUpMs <= before.warmUpMs;

const incarnationKey = ({ server, startedMs }: IncarnationId) => `${server}@${startedMs}`;

/** Creates an empty directory. */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { platform, clocks } = options;
  const servers = new Map<string, KnownServer>();
  const listeners: ((isNews: boolean) => void)[] = [];
  /** Timers of delayed removals, by the id of the server. */
  const removalTimers = new Map<string, NodeJS.Timeout>();
  /** Incarnations that announced their own end, oldest first. */
  const leaving = new Map<string, IncarnationId>();
  let byService: Map<string, KnownServer[]> | undefined;
  let loaded = false;
  let isStoreLost = false;
  let recoveredAt = -Infinity;
  /** When the store came back from an older copy, on the monotonic clock. */
  let returnedAt = -Infinity;
  const restoredEntries = createRestoredEntries();
  /** Entries of the copy that are not believed yet. */
  const outdated = new Map<string, ServerEntry>();
  /** The era of a return, until the registry has been read in it. */
  let returnedEra: number | undefined;
  let returnTimer: NodeJS.Timeout | undefined;
  /** True while the first snapshot of a new era is applied by a router that followed earlier ones. */
  let isCopyRead = false;
  let currentSince = Infinity;
  /** True if not only heartbeats were applied since the listeners were called. */
  let isNews = false;
  /** Version up to which there may be other changes than heartbeats. */
  let newsVersion = 0;

  function notifyListeners(): void {
    byService = undefined;
    for (const listener of listeners) listener(true);
  }

  /** Notifies the listeners of rows that were applied together. */
  function notifyOfRows(): void {
    byService = undefined;
    if (isNews) newsVersion = watch.tableReport().version;
    for (const listener of listeners) listener(isNews);
    isNews = false;
  }

  /** Returns the entry, marked as draining if the incarnation announced its own end. */
  function withAnnouncedDrain(entry: ServerEntry): ServerEntry {
    const incarnation = { server: entry.id, startedMs: entry.startedMs };
    if (!leaving.has(incarnationKey(incarnation))) return entry;
    if (entry.draining) leaving.delete(incarnationKey(incarnation));
    return { ...entry, draining: true };
  }

  function put(key: string, row: ServerEntry | undefined): void {
    const before = servers.get(key)?.entry;
    applyEntry(key, row);
    const after = servers.get(key)?.entry;
    isNews ||= !before || !after || !isHeartbeat(before, after);
  }

  function applyEntry(key: string, row: ServerEntry | undefined): void {
    clearTimeout(removalTimers.get(key));
    removalTimers.delete(key);
    outdated.delete(key);
    if (!row) {
      forget(key);
      return;
    }
    const known = servers.get(key);
    // What a router followed until the store was lost is newer than the copy: a server that only
    // the copy has is gone.
    const isOnlyInCopy = isCopyRead && !known;
    if (isReturnRecent() && (isOnlyInCopy || restoredEntries.isOutdated(row, known?.entry))) {
      outdated.set(key, row);
      return;
    }
    const entry = withAnnouncedDrain(row);
    const now = clocks.monotonic();
    const cold = coldPeriodOf(entry, known, now);
    const isSameStart = known?.entry.startedMs === entry.startedMs;
    if (isSameStart && known.entry.draining === entry.draining) {
      servers.set(key, { ...known, entry, cold, heartbeatAt: heartbeatAt(known, entry, now) });
      return;
    }
    servers.set(key, {
      entry,
      stateSince: earliestChangeAt(),
      cold,
      heartbeatAt: isSameStart ? heartbeatAt(known, entry, now) : -Infinity,
    });
  }

  /** Earliest time at which a change that is applied now can have been made. */
  function earliestChangeAt(): number {
    const confirmedAt = watch.confirmedAt();
    return confirmedAt === -Infinity ? clocks.monotonic() : confirmedAt;
  }

  const isReturnRecent = () => clocks.monotonic() < returnedAt + STORE_RETURN_GRACE_MS;

  function forget(key: string): void {
    const known = servers.get(key);
    if (known) restoredEntries.noteRemoved(known.entry);
    servers.delete(key);
  }

  /** Believes the entries of the copy that were not written again. */
  function believeOutdated(): void {
    const entries = [...outdated];
    outdated.clear();
    returnedAt = -Infinity;
    for (const [key, entry] of entries) put(key, entry);
    if (entries.length > 0) notifyListeners();
  }

  /**
   * Removes an entry; while the store is lost or came back recently, the removal is delayed and a
   * new entry cancels it.
   */
  function remove(key: string): void {
    outdated.delete(key);
    if (!servers.has(key) || removalTimers.has(key)) return;
    const waitMs = isStoreLost
      ? STORE_RETURN_GRACE_MS
      : Math.max(recoveredAt, returnedAt) + STORE_RETURN_GRACE_MS - clocks.monotonic();
    if (waitMs <= 0) {
      forget(key);
      return;
    }
    const timer = setTimeout(() => {
      removalTimers.delete(key);
      forget(key);
      notifyListeners();
    }, waitMs);
    removalTimers.set(key, timer);
  }

  /** Decodes a row; returns `undefined` if it describes no usable server. */
  function decode(row: StoredRow): ServerEntry | undefined {
    const decoded = platform.decodeServer(row);
    if (decoded.isOk()) return decoded.value;
    const { key } = row;
    options.onUnusable?.({ source: platform.serverTable, key, reason: decoded.error });
    return undefined;
  }

  const watcher: RowWatcher = {
    onReturn(era) {
      returnedAt = clocks.monotonic();
      currentSince = Math.max(currentSince, returnedAt);
      returnedEra = era;
      clearTimeout(returnTimer);
      returnTimer = setTimeout(believeOutdated, STORE_RETURN_GRACE_MS);
    },
    onSnapshot({ rows }) {
      const present = new Set(rows.map((it) => it.key));
      isCopyRead = loaded && returnedEra !== undefined;
      for (const row of rows) put(row.key, decode(row));
      isCopyRead = false;
      const missing = [...servers.keys()].filter((it) => !present.has(it));
      for (const key of missing) remove(key);
      if (returnedEra !== undefined) {
        const difference = { missing: missing.length, outdated: outdated.size };
        options.onReturn?.({ era: returnedEra, ...difference });
        returnedEra = undefined;
      }
      loaded = true;
      currentSince = Math.min(currentSince, clocks.monotonic());
      isNews = true;
      notifyOfRows();
    },
    onChange(row) {
      put(row.key, decode(row));
      byService = undefined;
    },
    onRemoval(key) {
      remove(key);
      isNews = true;
      byService = undefined;
    },
    // Listeners go through all servers, and each server writes its entry every heartbeat: a call
    // for each row would cost the square of the number of servers.
    onApplied: notifyOfRows,
    onGivenUp(err) {
      options.onGivenUp?.(err);
    },
    onLost(err) {
      isStoreLost = true;
      currentSince = Infinity;
      options.onLost?.(err);
    },
    onRecovered(outage) {
      isStoreLost = false;
      recoveredAt = clocks.monotonic();
      currentSince = recoveredAt;
      options.onRecovered?.(outage);
    },
  };

  const watch = createRowWatch({
    store: platform.store,
    table: platform.serverTable,
    watcher,
    peerDeliversChanges: true,
    ...(options.fallback && { fallback: options.fallback }),
    isRelayed: () => options.isRelayed?.() === true,
    peerWatchPauseMs: () => (options.drainNoticeMs?.() ?? 0) * MAX_PAUSE_SHARE,
  });

  function groupByService(): Map<string, KnownServer[]> {
    const groups = new Map<string, KnownServer[]>();
    for (const server of servers.values()) {
      const members = groups.get(server.entry.service) ?? [];
      members.push(server);
      groups.set(server.entry.service, members);
    }
    return groups;
  }

  return {
    currentSince: () => currentSince,
    confirmedAt: () => watch.confirmedAt(),
    isLoaded: () => loaded,
    get: (id) => servers.get(id),
    ofService: (service) => (byService ??= groupByService()).get(service) ?? [],
    noteLeaving(incarnation) {
      const known = servers.get(incarnation.server);
      const isThisIncarnation = known?.entry.startedMs === incarnation.startedMs;
      if (leaving.has(incarnationKey(incarnation)) || (isThisIncarnation && known.entry.draining))
        return false;
      leaving.set(incarnationKey(incarnation), incarnation);
      for (const oldest of leaving.keys()) {
        if (leaving.size <= MAX_LEAVING) break;
        leaving.delete(oldest);
      }
      if (!isThisIncarnation) return true;
      const entry = { ...known.entry, draining: true };
      servers.set(incarnation.server, { ...known, entry, stateSince: clocks.monotonic() });
      notifyListeners();
      return true;
    },
    leaving: () => [...leaving.values()],
    hasNewsSince: (version) => newsVersion > version,
    onChange(listener) {
      listeners.push(listener);
    },
    async run(signal) {
      await watch.run(signal);
      clearTimeout(returnTimer);
      for (const timer of removalTimers.values()) clearTimeout(timer);
    },
    rowsSince: (version) => watch.deltaSince(version),
    knownVersion: () => watch.knownVersion(),
    updateSince: (version) => watch.updateSince(version),
    applyUpdate(update) {
      watch.applyUpdate(update);
    },
    applyReport(report) {
      watch.applyReport(report);
    },
    tableReport: () => watch.tableReport(),
  };
}
