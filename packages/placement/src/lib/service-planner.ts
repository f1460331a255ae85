import { createExcludedOwners } from './excluded-owners.js';
import type { HeldRange, Holder } from './held-range.js';
import { countKeys } from './key-range.js';
import { type EndContext, type LeaderContext, hasEnded } from './leader-context.js';
import { type LoadChanges, type ObservedLoad, createLoadChanges } from './load-changes.js';
import { type LoadMap, createLoadMap } from './load-map.js';
import {
  type AdmittedShares,
  type OwnedRange,
  demandByOwner,
  findOverloads,
  isQueueVisible,
} from './overload.js';
import { type OwnerQueues, type QueueDelays, createOwnerQueues } from './owner-queues.js';
import { planJoins } from './plan-joins.js';
import {
  type PlannedMove,
  type PlannedRange,
  type PlannedServer,
  planMoves,
} from './plan-moves.js';
import { type RangeTable, applyMove } from './range-table.js';
import type { KnownServer, ServerDirectory } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import { type SpeedReport, createServerSpeeds } from './server-speed.js';

/** Time after a grant before balancing may move the range again, in milliseconds. */
const MIN_OWNERSHIP_MS = 1_500;
/** The same for a hot range. */
const MIN_HOT_OWNERSHIP_MS = 400;
/** A range is hot from this share of the load that an average server should have. */
const MIN_HOT_SHARE = 0.6;
/**
 * Half-life of the load by which ranges are placed, in milliseconds. At ten requests a second for a
 * server, random variation of its load is 5 %; with 4,000 it was 10 %, and ranges moved all the time.
 * Sudden changes are adopted from the recent load.
 */
const SMOOTHED_HALF_LIFE_MS = 15_000;
/**
 * Number of servers from which a service counts as large. In a smaller one the load of a server rests
 * on more of the service's requests, so that a short half-life is no more random, and a comparison of
 * the extremes no more misleading.
 */
const LARGE_SERVICE_SERVERS = 24;
/** Half-life of the load by which ranges of a small service are placed, in milliseconds. */
const SMALL_SERVICE_HALF_LIFE_MS = 4_000;
/** Half-life of the load by which overload is judged, in milliseconds. */
const RECENT_HALF_LIFE_MS = 1_000;
/** Half-life of the load by which sudden changes are noticed, in milliseconds. */
const LATEST_HALF_LIFE_MS = 400;
const MAX_MOVES_PER_PLAN = 16;
/** Capacity of a server that takes no requests, so that shares of it can be computed. */
const MIN_CAPACITY_PER_S = 0.1;
/** Average number of ranges per server above which quiet ranges are joined. */
const MAX_RANGES_PER_SERVER = 5;
export const MAX_JOINS_PER_PLAN = 6;
/**
 * Time for which a leaving owner keeps ranges that can't be handed over immediately, in
 * milliseconds.
 */
const MAX_LEAVING_OWNER_MS = 1_500;

const MS_PER_S = 1_000;

/** Load of one partitioned service, as reported by one router. */
export interface ServiceLoadReport {
  readonly service: string;
  /** Keys of requests, one entry per request. */
  readonly keys: readonly number[];
  readonly servers: readonly SpeedReport[];
}

/** Load of a service, and the tracker of its changes. */
interface ServiceLoad extends ObservedLoad {
  readonly changes: LoadChanges;
  /** What the ranges of a small service are placed by. */
  readonly shortTerm: LoadMap;
  readonly queues: OwnerQueues;
}

/** How evenly a service's keys are placed, and what was moved so far. */
export interface PlacementBalance {
  /** Utilization of the busiest server as a multiple of the mean, before the last plan. */
  readonly imbalance: number;
  readonly ranges: number;
  readonly rangesMoved: number;
  readonly keysMoved: number;
}

/** What a planner uses of a leader's context. */
export interface PlannerContext extends Pick<
  LeaderContext,
  'clocks' | 'inheritedUntil' | 'limitOf' | 'mayOwnKeys' | 'nextFence'
> {
  readonly directory: EndContext['directory'] & Pick<ServerDirectory, 'ofService'>;
  readonly health: EndContext['health'] & Pick<ServerHealth, 'isUnresponsive'>;
}

/** Decides which ranges get another owner, by load and by the state of their owners. */
export interface ServicePlanner {
  record(report: ServiceLoadReport): void;
  /**
   * Plans moves, applies them to the table and returns the ranges to hand over. Without `balance`,
   * only ranges that need a new owner are moved.
   */
  plan(service: string, table: RangeTable, balance: boolean): HeldRange[];
  /** By service, as of the last plans. */
  balance(): ReadonlyMap<string, PlacementBalance>;
  /** Returns the queueing delays at a service's servers since the last call. */
  takeQueueDelays(service: string): QueueDelays;
  /** Returns the servers of a service whose queues no router can know by itself. */
  withHiddenQueues(service: string, routers: number): string[];
  /** Finds the overloaded owners of a service's keys; see {@link findOverloads}. */
  overloads(service: string, table: RangeTable, routers: number): AdmittedShares;
}

function incarnationOf({ entry }: KnownServer) {
  return { server: entry.id, address: entry.address, startedMs: entry.startedMs };
}

const isIdle = ({ busy, renewing }: HeldRange) => !busy && !renewing;

const ownedRangesOf = ({ ranges }: RangeTable): OwnedRange[] =>
  ranges.map(({ first, last, owner }) => ({ first, last, owner: owner?.incarnation.server }));

/** Returns the utilization of the busiest server as a multiple of the mean; 1 without load. */
function imbalanceOf(
  servers: readonly PlannedServer[],
  demands: ReadonlyMap<string, number>,
): number {
  const demandOf = ({ id }: PlannedServer) => demands.get(id) ?? 0;
  const capacity = servers.reduce((sum, it) => sum + it.capacity, 0);
  const mean = servers.reduce((sum, it) => sum + demandOf(it), 0) / capacity;
  return mean > 0 ? Math.max(...servers.map((it) => demandOf(it) / it.capacity)) / mean : 1;
}

/** Creates a planner without load measurements. */
export function createServicePlanner(ctx: PlannerContext): ServicePlanner {
  const { directory, health, clocks } = ctx;
  const speeds = createServerSpeeds();
  const loads = new Map<string, ServiceLoad>();
  const exclusions = createExcludedOwners((service, zone) => ctx.mayOwnKeys(service, zone));
  const balances = new Map<string, PlacementBalance>();

  function noteBalance(
    service: string,
    table: RangeTable,
    imbalance: number,
    moved: readonly HeldRange[],
  ): void {
    const before = balances.get(service);
    balances.set(service, {
      imbalance,
      ranges: table.ranges.length,
      rangesMoved: (before?.rangesMoved ?? 0) + moved.length,
      keysMoved: (before?.keysMoved ?? 0) + countKeys(moved),
    });
  }

  function loadOf(service: string): ServiceLoad {
    const now = clocks.monotonic();
    const load = loads.get(service) ?? {
      smoothed: createLoadMap(now, SMOOTHED_HALF_LIFE_MS),
      recent: createLoadMap(now, RECENT_HALF_LIFE_MS),
      latest: createLoadMap(now, LATEST_HALF_LIFE_MS),
      changes: createLoadChanges(),
      shortTerm: createLoadMap(now, SMALL_SERVICE_HALF_LIFE_MS),
      queues: createOwnerQueues(),
    };
    loads.set(service, load);
    return load;
  }

  function isUsable(server: KnownServer, now: number): boolean {
    const incarnation = incarnationOf(server);
    return (
      !server.entry.draining &&
      !exclusions.isExcluded(server.entry.id) &&
      !health.hasEnded(incarnation) &&
      !health.isUnresponsive(incarnation, now)
    );
  }

  function plannedServer({ entry, cold }: KnownServer, now: number): PlannedServer {
    const isCold = now < cold.until;
    const runsPerS = speeds.capacityOf(entry.id, entry.slots, isCold);
    const limitPerS = ctx.limitOf({ server: entry.id, startedMs: entry.startedMs });
    const takesPerS = Math.max(MIN_CAPACITY_PER_S, limitPerS ?? Infinity);
    const deviation = speeds.deviationOf(entry.id);
    return { id: entry.id, capacity: Math.min(runsPerS, takesPerS), deviation };
  }

  /** Returns whether no grant of a former leader can reach the holder any more. */
  const hasNoInheritedGrant = (holder: Holder, now: number) =>
    !holder.inherited || now >= ctx.inheritedUntil();

  /** Returns whether a range needs another owner regardless of balance. */
  function mustMove(
    { owner }: HeldRange,
    usable: ReadonlyMap<string, KnownServer>,
    now: number,
  ): boolean {
    if (!owner) return true;
    const known = usable.get(owner.incarnation.server);
    if (known?.entry.startedMs === owner.incarnation.startedMs) return false;
    if (hasNoInheritedGrant(owner, now) || hasEnded(ctx, owner.incarnation)) return true;
    // A hand-over would wait until the grants of the former leader have expired, because the lease
    // can't be shown to end earlier. A leaving owner therefore goes on serving the range, for up to
    // `MAX_LEAVING_OWNER_MS`.
    const leaving = directory.get(owner.incarnation.server);
    return leaving !== undefined && now > leaving.stateSince + MAX_LEAVING_OWNER_MS;
  }

  /**
   * Returns the owner's later incarnation at the same address if the range had to wait before it may
   * go elsewhere: a grant that may still be carried out reaches nobody but that incarnation.
   */
  function laterOwner(
    { owner }: HeldRange,
    usable: ReadonlyMap<string, KnownServer>,
    now: number,
  ): KnownServer | undefined {
    if (!owner) return undefined;
    const { server, address, startedMs } = owner.incarnation;
    const known = usable.get(server);
    const isLater = known?.entry.address === address && known.entry.startedMs > startedMs;
    const mustWait = owner.bound.unansweredUntil > now || !hasNoInheritedGrant(owner, now);
    return isLater && mustWait ? known : undefined;
  }

  /** Plans that ranges stay with servers that started again. */
  function planStays(
    table: RangeTable,
    usable: ReadonlyMap<string, KnownServer>,
    now: number,
  ): PlannedMove[] {
    return table.ranges.flatMap((range) => {
      const later = laterOwner(range, usable, now);
      const { first, last } = range;
      return later && isIdle(range) ? [{ first, last, to: later.entry.id }] : [];
    });
  }

  function plannedRange(
    range: HeldRange,
    usable: ReadonlyMap<string, KnownServer>,
    now: number,
    minOwnershipMs: number,
  ): PlannedRange {
    const stays = laterOwner(range, usable, now) !== undefined;
    const needsOwner = !stays && mustMove(range, usable, now);
    const isSettled = range.granted && now > range.grantedAt + minOwnershipMs;
    return {
      first: range.first,
      last: range.last,
      owner: needsOwner ? undefined : range.owner?.incarnation.server,
      movable:
        isIdle(range) &&
        !stays &&
        (needsOwner ||
          (isSettled && range.owner !== undefined && hasNoInheritedGrant(range.owner, now))),
    };
  }

  /**
   * Forgets the failures of overloaded servers. A full server refuses requests; if it counted as
   * failing, it would lose far more keys than it is overloaded by.
   */
  function forgiveOverloaded(
    table: RangeTable,
    recent: LoadMap,
    servers: readonly PlannedServer[],
  ): void {
    const demands = demandByOwner(ownedRangesOf(table), recent);
    for (const { id, capacity } of servers) {
      if ((demands.get(id) ?? 0) > capacity) speeds.forgiveFailures(id);
    }
  }

  return {
    record(report) {
      const { smoothed, recent, latest, shortTerm, queues } = loadOf(report.service);
      for (const it of [smoothed, recent, latest, shortTerm]) it.record(report.keys);
      for (const server of report.servers) {
        speeds.record(server);
        queues.record(server);
      }
    },
    balance: () => balances,
    takeQueueDelays: (service) => loadOf(service).queues.take((it) => speeds.serviceMsOf(it)),
    withHiddenQueues(service, routers) {
      // By its speed alone: how often a server answers does not change while it fails or warms up.
      const perSecond = ({ id, slots }: KnownServer['entry']) =>
        (slots * MS_PER_S) / speeds.serviceMsOf(id);
      return directory
        .ofService(service)
        .filter(({ entry }) => !isQueueVisible(perSecond(entry), routers))
        .map(({ entry }) => entry.id);
    },
    overloads(service, table, routers) {
      const now = clocks.monotonic();
      const { recent } = loadOf(service);
      recent.decay(now);
      const servers = directory.ofService(service).map((it) => plannedServer(it, now));
      return findOverloads(servers, ownedRangesOf(table), recent, routers);
    },
    plan(service, table, balance) {
      const now = clocks.monotonic();
      const observed = loadOf(service);
      const { smoothed, recent, latest, shortTerm, changes } = observed;
      for (const it of [smoothed, recent, latest, shortTerm]) it.decay(now);
      const isLarge = directory.ofService(service).length >= LARGE_SERVICE_SERVERS;
      const load = isLarge ? smoothed : shortTerm;
      if (isLarge && balance) changes.adopt(observed);
      exclusions.note(directory.ofService(service), now);
      const servers = directory.ofService(service).filter((it) => isUsable(it, now));
      if (servers.length === 0) return [];
      const usable = new Map(servers.map((it) => [it.entry.id, it]));
      const minHotWeight = (load.total() / servers.length) * MIN_HOT_SHARE;
      const waiting = exclusions.waiting(service, table.ranges, balance);
      const ranges = table.ranges.map((it) => {
        const isHot = isLarge && load.weightWithin(it) > minHotWeight;
        const minOwnershipMs = isHot ? MIN_HOT_OWNERSHIP_MS : MIN_OWNERSHIP_MS;
        const range = plannedRange(it, usable, now, minOwnershipMs);
        return waiting.has(it) ? { ...range, movable: false } : range;
      });
      if (isLarge)
        forgiveOverloaded(
          table,
          recent,
          servers.map((it) => plannedServer(it, now)),
        );
      const planned = servers.map((it) => {
        const { id, capacity, deviation } = plannedServer(it, now);
        const share = exclusions.shareOf(id, now);
        return { id, capacity: capacity * share, ...(isLarge && { deviation }) };
      });
      const moves = planMoves({
        servers: planned,
        ranges,
        load,
        maxMoves: balance ? MAX_MOVES_PER_PLAN : 0,
        maxUrgentMoves: balance && isLarge ? Math.max(MAX_MOVES_PER_PLAN, servers.length) : 0,
        evenness: isLarge ? 'mean' : 'pairs',
      });
      const stays = planStays(table, usable, now);
      const maxRanges = servers.length * MAX_RANGES_PER_SERVER;
      const joins =
        balance && moves.length === 0
          ? planJoins({ ranges, load, maxRanges, maxMoves: MAX_JOINS_PER_PLAN })
          : [];
      const imbalance = imbalanceOf(planned, demandByOwner(ownedRangesOf(table), load));
      const moved = [...stays, ...moves, ...joins].flatMap((move) => {
        const to = usable.get(move.to);
        return (to && applyMove(table, move, incarnationOf(to), ctx.nextFence())) ?? [];
      });
      noteBalance(service, table, imbalance, moved);
      return moved;
    },
  };
}
