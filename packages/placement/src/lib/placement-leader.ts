import { setTimeout as sleep } from 'node:timers/promises';

import type { ServerOrders } from '@boragepoint/platform';

import { createBell } from './bell.js';
import { handOver } from './hand-over.js';
import { type HeldRange, inheritedRange } from './held-range.js';
import {
  LEASE_MS,
  type LeaderContext,
  ORDER_TIMEOUT_MS,
  type PlacementLog,
  hasEnded,
  sendGrant,
} from './leader-context.js';
import { type LeaderSeat, RENEWAL_GRACE_MS, TENURE_MS } from './leader-seat.js';
import { type LeaseTimes, longestLeaseMs } from './lease-bound.js';
import { type LoadMap, createLoadMap } from './load-map.js';
import type { Placement } from './placement-record.js';
import type { PlacementView, RangeView } from './placement-view.js';
import { createPlacementWriter } from './placement-writer.js';
import { planJoins } from './plan-joins.js';
import { type PlannedRange, type PlannedServer, planMoves } from './plan-moves.js';
import {
  type RangeTable,
  applyMove,
  createRangeTable,
  joinNeighbours,
  joinUnderNewFence,
  recordsOf,
} from './range-table.js';
import type { KnownServer, ServerDirectory } from './server-directory.js';
import { createServerHealth } from './server-health.js';
import { type SpeedReport, createServerSpeeds } from './server-speed.js';
import { type Clocks, createSuspensionGuard } from './suspension-guard.js';

/** Time over which changes are gathered before routers are told, in milliseconds. */
const COALESCE_MS = 30;
const RENEW_LEASES_MS = 2_000;
const PLAN_MS = 500;
/** A range stays with its new owner this long before balance may move it again, in milliseconds. */
const SETTLE_MS = 1_500;
const MAX_MOVES_PER_PLAN = 16;
/** First division of a service's keys: ranges for each server. */
const RANGES_PER_SERVER = 2;
/** Ranges for each server beyond which quiet ones are joined. */
const MAX_RANGES_PER_SERVER = 5;
const MAX_JOINS_PER_PLAN = 6;
/** Time to wait for more servers to register before the first division, in milliseconds. */
const FIRST_PLAN_DELAY_MS = 1_500;
/** Time for which a leaving owner keeps ranges that can't be handed over at once, in milliseconds. */
const LEAVING_OWNER_MS = 1_500;

/** Load of one partitioned service as one router reports it. */
export interface ServiceLoadReport {
  readonly service: string;
  readonly keys: readonly number[];
  readonly servers: readonly SpeedReport[];
}

/** Places the keys of partitioned services while this router leads. */
export interface PlacementLeader {
  readonly epoch: number;
  view(): PlacementView;
  /** Ranges of all services that changed after a change. */
  changedSince(knownChange: number): ReadonlyMap<string, readonly RangeView[]>;
  /** Waits until the view is newer than a change, for at most `waitMs`. */
  waitForChange(knownChange: number, waitMs: number): Promise<void>;
  report(load: ServiceLoadReport): void;
  /** Leads until the seat is lost or the signal aborts; then hands over if it still holds the seat. */
  run(signal: AbortSignal): Promise<void>;
  /** Stops ordering; returns the time until grants without an answer have lapsed, in milliseconds. */
  yieldSeat(): number;
}

/** What a leader needs. */
export interface PlacementLeaderOptions {
  readonly seat: LeaderSeat;
  readonly previous: Placement | undefined;
  /** How long a grant of the former leader may still be carried out, in milliseconds. */
  readonly inheritedForMs: number;
  readonly orders: ServerOrders;
  readonly directory: ServerDirectory;
  readonly clocks: Clocks;
  readonly log: PlacementLog;
  /** Names of the partitioned services in the configuration. */
  partitionedServices(): readonly string[];
}

/** Creates the leader of one epoch. */
export function createPlacementLeader(options: PlacementLeaderOptions): PlacementLeader {
  const { seat, previous, directory, clocks, log } = options;
  const times: LeaseTimes = { leaseMs: LEASE_MS, transitMs: ORDER_TIMEOUT_MS };
  const startedAt = clocks.monotonic();
  const inheritedUntil = startedAt + options.inheritedForMs;
  const health = createServerHealth();
  const speeds = createServerSpeeds();
  const guard = createSuspensionGuard(clocks);
  const tables = new Map<string, RangeTable>();
  const loads = new Map<string, LoadMap>();
  const stop = new AbortController();
  const end = new AbortController();
  const waiting = new Set<() => void>();
  let nextFence = previous?.nextFence ?? 1;
  let change = previous?.change ?? 0;
  let currentView: PlacementView | undefined;
  let hasYielded = false;
  let wakeTimer: NodeJS.Timeout | undefined;
  let distrustedAt = -Infinity;

  for (const [service, records] of previous?.services ?? []) {
    const answeredUntil = startedAt + longestLeaseMs(times);
    tables.set(service, { ranges: records.map((it) => inheritedRange(it, answeredUntil)) });
  }

  const writer = createPlacementWriter({
    seat,
    firstVersion: previous?.version ?? 0,
    content: () => ({
      change,
      nextFence,
      services: new Map([...tables].map(([service, table]) => [service, recordsOf(table)])),
    }),
    onUnconfirmed() {
      log.warn('seat not confirmed', {
        epoch: seat.epoch,
        sinceMs: Math.round(seat.sinceConfirmedMs()),
      });
    },
  });

  /** Nobody else may be leading, or the store is away and leases must not lapse for that. */
  function mayRenew(): boolean {
    if (guard.mayHaveBeenSuspended()) {
      log.warn('clocks disagree, the seat is confirmed first', { epoch: seat.epoch });
      seat.distrust();
      distrustedAt = clocks.monotonic();
    }
    if (hasYielded || stop.signal.aborted) return false;
    if (seat.isConfirmed()) return true;
    const isDistrusted = seat.sinceConfirmedMs() > clocks.monotonic() - distrustedAt;
    return !isDistrusted && seat.sinceConfirmedMs() < TENURE_MS + RENEWAL_GRACE_MS;
  }

  const ctx: LeaderContext = {
    orders: options.orders,
    directory,
    health,
    clocks,
    log,
    times,
    signal: stop.signal,
    mayOrder: () => mayRenew() && seat.isConfirmed(),
    inheritedUntil: () => inheritedUntil,
    changed,
    persist: () => writer.persist(),
    nextFence() {
      nextFence += 1;
      return nextFence - 1;
    },
  };

  function changed(range?: HeldRange): void {
    change += 1;
    if (range) range.change = change;
    currentView = undefined;
    wakeTimer ??= setTimeout(wakeAll, COALESCE_MS);
  }

  /** Tells waiting routers about all changes of a short time at once. */
  function wakeAll(): void {
    clearTimeout(wakeTimer);
    wakeTimer = undefined;
    for (const wake of [...waiting]) wake();
  }

  function viewOf(range: HeldRange): RangeView {
    const { first, last, owner, granted } = range;
    return { first, last, owner: owner?.life.server, granted };
  }

  function view(): PlacementView {
    currentView ??= {
      epoch: seat.epoch,
      change,
      services: new Map([...tables].map(([service, { ranges }]) => [service, ranges.map(viewOf)])),
    };
    return currentView;
  }

  async function renew(range: HeldRange): Promise<void> {
    const { owner } = range;
    if (!owner || hasEnded(ctx, owner.life)) return;
    range.renewing = true;
    const outcome = await sendGrant(ctx, range, owner);
    range.renewing = false;
    if (outcome.kind === 'done') return;
    log.info('lease not renewed', {
      first: range.first,
      last: range.last,
      server: owner.life.server,
      fence: owner.fence,
      outcome: outcome.kind,
    });
    if (outcome.kind === 'fenced') {
      range.busy = true;
      owner.fence = ctx.nextFence();
      if (await writer.persist()) await handOver(ctx, range);
      range.busy = false;
    }
    if (outcome.kind === 'gone' || outcome.kind === 'misdirected') planBell.ring();
  }

  /** Grants a joined range under its new token; if that fails, the next renewal does. */
  async function regrant(range: HeldRange): Promise<void> {
    if (range.owner && ctx.mayOrder()) await sendGrant(ctx, range, range.owner);
    range.busy = false;
  }

  async function renewAll(): Promise<void> {
    while (!stop.signal.aborted) {
      if (mayRenew()) {
        for (const table of tables.values()) {
          joinNeighbours(table);
          for (const range of table.ranges) {
            if (!range.busy && !range.renewing && range.granted) void renew(range);
          }
        }
      }
      await sleep(RENEW_LEASES_MS, undefined, { signal: stop.signal }).catch(() => undefined);
    }
  }

  const planBell = createBell();

  function isUsable(server: KnownServer, now: number): boolean {
    const { entry } = server;
    const life = lifeOf(server);
    return !entry.draining && !health.hasEnded(life) && !health.isSuspect(life, now);
  }

  function lifeOf({ entry }: KnownServer) {
    return { server: entry.id, address: entry.address, startedMs: entry.startedMs };
  }

  function plannedServer(server: KnownServer, now: number): PlannedServer {
    const { entry, firstSeenAt } = server;
    const isCold = now < firstSeenAt + entry.warmUpMs;
    return { id: entry.id, capacity: speeds.capacityOf(entry.id, entry.slots, isCold) };
  }

  /** Returns whether a range should leave its owner whatever the balance. */
  function mustMove(
    range: HeldRange,
    usable: ReadonlyMap<string, KnownServer>,
    now: number,
  ): boolean {
    const { owner } = range;
    if (!owner) return true;
    const known = usable.get(owner.life.server);
    if (known?.entry.startedMs === owner.life.startedMs) return false;
    if (now >= inheritedUntil || hasEnded(ctx, owner.life)) return true;
    // The lease can't be shown to end before `inheritedUntil`, so the owner serves on while it may.
    const leaving = directory.get(owner.life.server);
    return leaving !== undefined && now > leaving.seenAt + LEAVING_OWNER_MS;
  }

  function planService(service: string, table: RangeTable): HeldRange[] {
    const now = clocks.monotonic();
    const load = loadOf(service);
    load.decay(now);
    const servers = directory.ofService(service).filter((it) => isUsable(it, now));
    const usable = new Map(servers.map((it) => [it.entry.id, it]));
    if (servers.length === 0) return [];
    const ranges: PlannedRange[] = table.ranges.map((it) => {
      const isOrphan = mustMove(it, usable, now);
      const isIdle = !it.busy && !it.renewing;
      const isSettled = it.granted && now >= inheritedUntil && now > it.grantedAt + SETTLE_MS;
      return {
        first: it.first,
        last: it.last,
        owner: isOrphan ? undefined : it.owner?.life.server,
        movable: isIdle && (isOrphan || isSettled),
      };
    });
    const planned = servers.map((it) => plannedServer(it, now));
    const balancing = planMoves({ servers: planned, ranges, load, maxMoves: MAX_MOVES_PER_PLAN });
    const maxRanges = servers.length * MAX_RANGES_PER_SERVER;
    const joins =
      balancing.length === 0
        ? planJoins({ ranges, load, maxRanges, maxMoves: MAX_JOINS_PER_PLAN })
        : [];
    return [...balancing, ...joins].flatMap((move) => {
      const to = usable.get(move.to);
      const moved = to && applyMove(table, move, lifeOf(to), ctx.nextFence());
      return moved ?? [];
    });
  }

  function loadOf(service: string): LoadMap {
    const load = loads.get(service) ?? createLoadMap(clocks.monotonic());
    loads.set(service, load);
    return load;
  }

  /** Divides services that are new, once their servers had time to register. */
  function divideNewServices(): void {
    for (const service of options.partitionedServices()) {
      if (tables.has(service) || !directory.isLoaded()) continue;
      const count = directory.ofService(service).filter((it) => !it.entry.draining).length;
      if (count === 0 || clocks.monotonic() < startedAt + FIRST_PLAN_DELAY_MS) continue;
      tables.set(service, createRangeTable(count * RANGES_PER_SERVER));
      changed();
      log.info('service divided', { service, servers: count, ranges: count * RANGES_PER_SERVER });
    }
  }

  async function plan(): Promise<void> {
    divideNewServices();
    const joined = [...tables.values()].flatMap((it) =>
      joinUnderNewFence(it, MAX_JOINS_PER_PLAN, ctx.nextFence),
    );
    const moved = [...tables].flatMap(([service, table]) => planService(service, table));
    if (moved.length + joined.length === 0) return;
    log.info('ranges to move', {
      count: moved.length,
      joined: joined.length,
      epoch: seat.epoch,
    });
    if (!(await writer.persist())) return;
    for (const range of joined) void regrant(range);
    for (const range of moved) changed(range);
    for (const range of moved)
      void handOver(ctx, range).then(() => {
        planBell.ring();
      });
  }

  async function planAll(): Promise<void> {
    while (!stop.signal.aborted) {
      if (ctx.mayOrder() && directory.isLoaded()) await plan();
      await planBell.wait(PLAN_MS);
    }
  }

  /** Finishes what the former leader had begun. */
  function resumeHandOvers(): void {
    for (const { ranges } of tables.values()) {
      for (const range of ranges) {
        if (range.owner && !range.granted) void handOver(ctx, range);
      }
    }
  }

  function unansweredForMs(): number {
    const now = clocks.monotonic();
    let until = now;
    for (const { ranges } of tables.values()) {
      for (const range of ranges) {
        const holders = [...range.former, ...(range.owner ? [range.owner] : [])];
        for (const holder of holders) {
          until = Math.max(until, holder.bound.unansweredUntil);
          if (holder.inherited) until = Math.max(until, inheritedUntil);
        }
        if (range.renewing || range.busy) {
          until = Math.max(until, now + ORDER_TIMEOUT_MS + longestLeaseMs(times));
        }
      }
    }
    return until - now;
  }

  /** Waits until no order is on its way. */
  async function finishOrders(): Promise<void> {
    const isBusy = () =>
      [...tables.values()].some(({ ranges }) => ranges.some((it) => it.renewing || it.busy));
    const deadline = clocks.monotonic() + ORDER_TIMEOUT_MS;
    while (isBusy() && clocks.monotonic() < deadline) await sleep(20);
  }

  async function run(signal: AbortSignal): Promise<void> {
    const onAbort = () => {
      hasYielded = true;
      end.abort();
    };
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
    log.info('leading placement', {
      epoch: seat.epoch,
      ranges: [...tables.values()].reduce((sum, it) => sum + it.ranges.length, 0),
      inheritedForMs: Math.round(options.inheritedForMs),
    });
    resumeHandOvers();
    const loops = [renewAll(), planAll()];
    await writer.run(end.signal);
    signal.removeEventListener('abort', onAbort);
    hasYielded = true;
    if (signal.aborted && seat.isConfirmed()) {
      await finishOrders();
      await writer.handOver({ unansweredForMs: unansweredForMs() });
    }
    stop.abort();
    planBell.ring();
    await Promise.all(loops);
    wakeAll();
    log.info('no longer leading placement', { epoch: seat.epoch });
  }

  return {
    epoch: seat.epoch,
    view,
    changedSince(knownChange) {
      const changes = [...tables].map(([service, { ranges }]) => {
        const newer = ranges.filter((it) => it.change > knownChange);
        return [service, newer.map(viewOf)] as const;
      });
      return new Map(changes.filter(([, ranges]) => ranges.length > 0));
    },
    async waitForChange(knownChange, waitMs) {
      if (change > knownChange || stop.signal.aborted) return;
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          waiting.delete(finish);
          resolve();
        };
        const timer = setTimeout(finish, waitMs);
        waiting.add(finish);
      });
    },
    report(load) {
      loadOf(load.service).record(load.keys);
      for (const server of load.servers) speeds.record(server);
    },
    run,
    yieldSeat() {
      hasYielded = true;
      end.abort();
      return unansweredForMs();
    },
  };
}
