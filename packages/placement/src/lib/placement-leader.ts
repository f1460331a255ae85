import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { type ServerOrders, createWakeSignal } from '@boragepoint/platform';

import { createChangeFeed } from './change-feed.js';
import { handOver } from './hand-over.js';
import { type Holder, type InheritedTimes, inheritedRange } from './held-range.js';
import {
  LEASE_MS,
  type LeaderContext,
  ORDER_TIMEOUT_MS,
  type PlacementLogger,
  mayHoldUntil,
} from './leader-context.js';
import { type LeaderLease, RENEWAL_GRACE_MS, LEADER_LEASE_MS } from './leader-lease.js';
import { type LeaseTimes, maxLeaseMs } from './lease-bound.js';
import { grantJoined, renewLeases } from './lease-renewals.js';
import { type AdmittedShares, isSignificantChange } from './overload.js';
import type { Placement } from './placement-record.js';
import type { PlacementView, RangeView } from './placement-view.js';
import { createPlacementWriter } from './placement-writer.js';
import { type RangeTable, createRangeTable, joinUnderNewFence, recordsOf } from './range-table.js';
import type { ServerDirectory } from './server-directory.js';
import { createServerHealth } from './server-health.js';
import {
  MAX_JOINS_PER_PLAN,
  type ServiceLoadReport,
  createServicePlanner,
} from './service-planner.js';
import type { AgedRun } from './suspect-run.js';
import { type Clocks, createSuspensionGuard } from './suspension-guard.js';

/** Time between two plans that balance, in milliseconds; ranges without an owner wait for none. */
const BALANCE_INTERVAL_MS = 500;
/** First division of a service's keys: ranges for each server. */
const RANGES_PER_SERVER = 2;
/** Time to wait for more servers to register before the first division, in milliseconds. */
const FIRST_PLAN_DELAY_MS = 1_500;

/** Places the keys of partitioned services while this router leads. */
export interface PlacementLeader {
  readonly epoch: number;
  /** When it began to lead, on the monotonic clock. */
  readonly startedAt: number;
  view(): PlacementView;
  /** Ranges of all services that changed after a change. */
  changedSince(knownChange: number): ReadonlyMap<string, readonly RangeView[]>;
  /** Shares of requests that routers send on to servers that are asked for too much. */
  admitted(): AdmittedShares;
  /** Waits until the view is newer than a change, for at most `waitMs`. */
  waitForChange(knownChange: number, waitMs: number): Promise<void>;
  report(load: ServiceLoadReport): void;
  /** Leads until the seat is lost or the signal aborts; then hands over if it still holds the seat. */
  run(signal: AbortSignal): Promise<void>;
  /** The store has not confirmed the tenure, and it is over. */
  isLeaseExpired(): boolean;
  /** Has the row written soon. */
  persist(): void;
  /** Hands the seat over to a router, once no order is on its way. */
  handOverLeadership(successor: string): void;
  /** Stops ordering; returns the time until grants without an answer have lapsed, in milliseconds. */
  stepDown(): number;
}

/** What a leader needs. */
export interface PlacementLeaderOptions {
  readonly leaderLease: LeaderLease;
  readonly previous: Placement | undefined;
  /** How long a grant of the former leader may still be carried out, in milliseconds. */
  readonly inheritedForMs: number;
  /** Latest time on the monotonic clock that a time of the store's clock can be. */
  readonly toMonotonic: (storeMs: number) => number;
  readonly orders: ServerOrders;
  readonly directory: ServerDirectory;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Names of the partitioned services in the configuration. */
  partitionedServices(): readonly string[];
  /** Routers that share the load, this one included. */
  routers(): number;
  /** How long before its end a server says that it leaves, in milliseconds. */
  drainNoticeMs(): number;
  /** Suspect runs that the row keeps. */
  suspects(): readonly AgedRun[];
  /** Routers that the row names. */
  knownPeers(): readonly string[];
}

/** Creates the leader of one epoch. */
export function createPlacementLeader(options: PlacementLeaderOptions): PlacementLeader {
  const { leaderLease, previous, directory, clocks, log } = options;
  const times: LeaseTimes = { leaseMs: LEASE_MS, transitMs: ORDER_TIMEOUT_MS };
  const startedAt = clocks.monotonic();
  const inheritedUntil = startedAt + options.inheritedForMs;
  const guard = createSuspensionGuard(clocks);
  const tables = inheritTables(previous, {
    answeredUntil: startedAt + maxLeaseMs(times),
    toMonotonic: options.toMonotonic,
  });
  const feed = createChangeFeed(leaderLease.epoch, tables, previous?.change ?? 0);
  const planWakeSignal = createWakeSignal();
  /** Ends the writer, and with it the run. */
  const writerAbort = new AbortController();
  /** Ends everything that orders. */
  const orderAbort = new AbortController();
  // Each range that changes hands waits on it.
  setMaxListeners(0, orderAbort.signal);
  let nextFence = previous?.nextFence ?? 1;
  let hasSteppedDown = false;
  let successor: string | undefined;
  let invalidatedAt = -Infinity;
  let admitted: AdmittedShares = new Map();

  /** When a holder can't hold its range any more, on the store's clock; 0 for one that has let go of it. */
  function heldUntilMs(holder: Holder): number {
    // A grant that was on its way while this process was suspended is counted from too early a time.
    const until = mayHoldUntil(ctx, holder) + ORDER_TIMEOUT_MS;
    return Math.max(0, leaderLease.storeTime(until));
  }

  function recordAll() {
    const recordTimes = { now: clocks.monotonic(), heldUntilMs };
    return new Map(
      [...tables].map(([service, table]) => [service, recordsOf(table, recordTimes)] as const),
    );
  }

  const writer = createPlacementWriter({
    leaderLease,
    firstVersion: previous?.version ?? 0,
    content: () => ({
      change: feed.last(),
      nextFence,
      services: recordAll(),
      suspects: options.suspects(),
      peers: options.knownPeers(),
    }),
    onUnconfirmed() {
      const sinceMs = Math.round(leaderLease.sinceConfirmedMs());
      log.warn('seat not confirmed', { epoch: leaderLease.epoch, sinceMs });
    },
  });

  function mayRenew(): boolean {
    if (guard.mayHaveBeenSuspended()) {
      log.warn('clocks disagree, the seat is confirmed first', { epoch: leaderLease.epoch });
      leaderLease.invalidate();
      invalidatedAt = clocks.monotonic();
    }
    if (hasSteppedDown || orderAbort.signal.aborted) return false;
    if (leaderLease.isConfirmed()) return true;
    const isInvalidated = leaderLease.sinceConfirmedMs() > clocks.monotonic() - invalidatedAt;
    return !isInvalidated && leaderLease.sinceConfirmedMs() < LEADER_LEASE_MS + RENEWAL_GRACE_MS;
  }

  const ctx: LeaderContext = {
    orders: options.orders,
    directory,
    health: createServerHealth(),
    clocks,
    log,
    times,
    signal: orderAbort.signal,
    mayOrder: () => mayRenew() && leaderLease.isConfirmed(),
    mayRenew,
    drainNoticeMs: () => options.drainNoticeMs(),
    inheritedUntil: () => inheritedUntil,
    noteChange: (range) => {
      feed.note(range);
    },
    persist: () => writer.persist(),
    nextFence: () => nextFence++,
  };
  const planner = createServicePlanner(ctx);

  /** Divides services that are new, once their servers had time to register. */
  function divideNewServices(): void {
    for (const service of options.partitionedServices()) {
      if (tables.has(service) || clocks.monotonic() < startedAt + FIRST_PLAN_DELAY_MS) continue;
      const servers = directory.ofService(service).filter((it) => !it.entry.draining).length;
      if (servers === 0) continue;
      const ranges = servers * RANGES_PER_SERVER;
      tables.set(service, createRangeTable(ranges));
      feed.note();
      log.info('service divided', { service, servers, ranges });
    }
  }

  /** Gives ranges without an owner a new one; with `balance`, evens the load out as well. */
  async function plan(balance: boolean): Promise<void> {
    divideNewServices();
    const joined = balance
      ? [...tables.values()].flatMap((it) =>
          joinUnderNewFence(it, MAX_JOINS_PER_PLAN, ctx.nextFence),
        )
      : [];
    const moved = [...tables].flatMap(([service, table]) => planner.plan(service, table, balance));
    if (moved.length + joined.length === 0) return;
    log.info('ranges to move', {
      count: moved.length,
      joined: joined.length,
      epoch: leaderLease.epoch,
    });
    if (!(await writer.persist())) return;
    for (const range of joined) void grantJoined(ctx, range);
    for (const range of moved) feed.note(range);
    for (const range of moved) void handOver(ctx, range).then(planWakeSignal.wake);
  }

  /** Finds overloaded owners and wakes the routers that wait if much has changed. */
  function updateOverloads(): void {
    const found = [...tables].flatMap(([service, table]) => [
      ...planner.overloads(service, table, options.routers()),
    ]);
    const shares = new Map(found);
    if (!isSignificantChange(admitted, shares)) return;
    admitted = shares;
    feed.note();
    log.info('overloaded owners', {
      epoch: leaderLease.epoch,
      admitted: Object.fromEntries(shares),
    });
  }

  async function planAll(): Promise<void> {
    let balanceAt = -Infinity;
    while (!orderAbort.signal.aborted) {
      const now = clocks.monotonic();
      const balance = now >= balanceAt;
      if (balance) balanceAt = now + BALANCE_INTERVAL_MS;
      if (balance) updateOverloads();
      if (ctx.mayOrder() && directory.isLoaded()) await plan(balance);
      await planWakeSignal.wait(Math.max(1, balanceAt - clocks.monotonic()));
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

  function allRanges() {
    return [...tables.values()].flatMap((it) => it.ranges);
  }

  function unansweredForMs(): number {
    const now = clocks.monotonic();
    const ends = allRanges().flatMap((range) => {
      const holders = [...range.former, ...(range.owner ? [range.owner] : [])];
      const isInFlight = range.renewing || range.busy;
      return [
        ...holders.map((it) => it.bound.unansweredUntil),
        ...(holders.some((it) => it.inherited) ? [inheritedUntil] : []),
        ...(isInFlight ? [now + ORDER_TIMEOUT_MS + maxLeaseMs(times)] : []),
      ];
    });
    return Math.max(now, ...ends) - now;
  }

  /** Waits until no order is on its way. */
  async function finishOrders(): Promise<void> {
    const deadline = clocks.monotonic() + ORDER_TIMEOUT_MS;
    const isBusy = () => allRanges().some((it) => it.renewing || it.busy);
    while (isBusy() && clocks.monotonic() < deadline) await sleep(20);
  }

  async function run(signal: AbortSignal): Promise<void> {
    const onAbort = () => {
      hasSteppedDown = true;
      writerAbort.abort();
    };
    signal.addEventListener('abort', onAbort);
    if (signal.aborted) onAbort();
    log.info('leading placement', {
      epoch: leaderLease.epoch,
      ranges: allRanges().length,
      inheritedForMs: Math.round(options.inheritedForMs),
    });
    resumeHandOvers();
    const loops = [renewLeases(ctx, tables, planWakeSignal.wake), planAll()];
    await writer.run(writerAbort.signal);
    signal.removeEventListener('abort', onAbort);
    hasSteppedDown = true;
    const mustHandOver = signal.aborted || successor !== undefined;
    if (mustHandOver && leaderLease.isConfirmed()) {
      await finishOrders();
      await writer.handOver({ unansweredForMs: unansweredForMs(), successor });
    }
    orderAbort.abort();
    planWakeSignal.wake();
    await Promise.all(loops);
    feed.close();
    log.info('no longer leading placement', { epoch: leaderLease.epoch });
  }

  return {
    epoch: leaderLease.epoch,
    startedAt,
    view: () => feed.view(),
    admitted: () => admitted,
    changedSince: (knownChange) => feed.since(knownChange),
    waitForChange: (knownChange, waitMs) => feed.wait(knownChange, waitMs),
    report: (load) => {
      planner.record(load);
    },
    run,
    handOverLeadership(router) {
      log.info('seat handed to a stronger router', { epoch: leaderLease.epoch, successor: router });
      successor = router;
      hasSteppedDown = true;
      writerAbort.abort();
    },
    persist() {
      void writer.persist();
    },
    isLeaseExpired: () => !leaderLease.isConfirmed(),
    stepDown() {
      hasSteppedDown = true;
      writerAbort.abort();
      return unansweredForMs();
    },
  };
}

/** Takes over what the row says. */
function inheritTables(
  previous: Placement | undefined,
  times: InheritedTimes,
): Map<string, RangeTable> {
  const services = [...(previous?.services ?? [])];
  return new Map(
    services.map(([service, records]) => [
      service,
      { ranges: records.map((it) => inheritedRange(it, times)) },
    ]),
  );
}
