import { setMaxListeners } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { type OrderOutcome, type ServerOrders, createWakeSignal } from '@boragepoint/platform';

import { createChangeFeed } from './change-feed.js';
import { handOver } from './hand-over.js';
import { type HeldRange, type Holder, type InheritedTimes, inheritedRange } from './held-range.js';
import { countKeys } from './key-range.js';
import {
  LEASE_MS,
  type LeaderContext,
  ORDER_TIMEOUT_MS,
  type PlacementLogger,
  mayHoldUntil,
  runTask,
} from './leader-context.js';
import { LEADER_LEASE_MS, type LeaderLease, RENEWAL_GRACE_MS } from './leader-lease.js';
import { type LeaseTimes, maxLeaseMs } from './lease-bound.js';
import { grantJoined, renewLeases } from './lease-renewals.js';
import { type OwnerAdmission, createOwnerAdmission } from './owner-admission.js';
import type { QueueFigures } from './owner-queues.js';
import type { Placement } from './placement-record.js';
import type { PlacementView, RangeView } from './placement-view.js';
import { createPlacementWriter } from './placement-writer.js';
import { type RangeTable, createRangeTable, joinUnderNewFence, recordsOf } from './range-table.js';
import { releaseOthers } from './release-others.js';
import type { ServerDirectory } from './server-directory.js';
import { createServerHealth } from './server-health.js';
import type { ServerRates } from './server-rates.js';
import { type ReachRequest, createServerReach } from './server-reach.js';
import {
  MAX_JOINS_PER_PLAN,
  type PlacementBalance,
  type ServiceLoadReport,
  createServicePlanner,
} from './service-planner.js';
import type { AgedRun } from './suspect-run.js';
import { type Clocks, createSuspensionGuard } from './suspension-guard.js';
import { type NoteAnswer, type PlacementNote, createWitnesses } from './witnesses.js';

/**
 * Time between two plans that balance load, in milliseconds; ranges without an owner are placed
 * sooner.
 */
const BALANCE_INTERVAL_MS = 500;
/** Number of ranges per server when a service's keys are first divided. */
const RANGES_PER_SERVER = 2;
/**
 * Time for which the first division of a service's keys waits for servers to register, in
 * milliseconds.
 */
const FIRST_PLAN_DELAY_MS = 1_500;
/** Time between two questions to a former leader that does not answer, in milliseconds. */
const FORMER_LEADER_RETRY_MS = 300;
/** Time between two checks whether the registry has been read, in milliseconds. */
const VERIFY_RETRY_MS = 50;

/** Assigns the keys of partitioned services to backend servers while this router leads. */
export interface PlacementLeader {
  readonly epoch: number;
  /** The era of the store in which the leadership lease was confirmed last. */
  era(): number;
  /** When the router began to lead, on the monotonic clock. */
  readonly startedAt: number;
  view(): PlacementView;
  /** Ranges of all services that changed after the change with a number. */
  changedSince(knownChange: number): ReadonlyMap<string, readonly RangeView[]>;
  /** How evenly keys are placed, by service. */
  balance(): ReadonlyMap<string, PlacementBalance>;
  /** Shares of requests that routers forward to overloaded servers. */
  readonly admitted: OwnerAdmission['shares'];
  /** Queues of the owners of keys, by service. */
  queues(): ReadonlyMap<string, QueueFigures>;
  /**
   * Waits until the view is newer than the change with a number, for at most `waitMs` milliseconds.
   */
  waitForChange(knownChange: number, waitMs: number): Promise<void>;
  report(load: ServiceLoadReport): void;
  /**
   * Leads until the leadership lease is lost or the signal aborts; then hands over if the lease is
   * still held.
   */
  run(signal: AbortSignal): Promise<void>;
  /** Addresses of the routers that know of each move before its first order. */
  witnesses(): readonly string[];
  /** Returns whether the leadership lease has expired without confirmation by the store. */
  isLeaseExpired(): boolean;
  /** Requests a write of the row. */
  persist(): void;
  /** Hands leadership over to a router, once no order is in flight. */
  handOverLeadership(successor: string): void;
  /**
   * Stops sending orders; returns the time until unanswered grants have expired, in milliseconds.
   */
  stepDown(): number;
  /** What the leader knows; final once it has stepped down. */
  stopped(): StoppedPlacement;
}

/** What a leader knew when it stopped, without the record of its lease. */
export interface StoppedPlacement {
  readonly content: Omit<Placement, 'leaderLease' | 'version'>;
  /** Time until unanswered grants have expired, in milliseconds. */
  readonly unansweredForMs: number;
  /** Estimate of the store's clock, in milliseconds. */
  readonly storeNowMs: number;
  /** Time since the lease expired, in milliseconds; see {@link LeaderLease.lapsedForMs}. */
  readonly lapsedForMs: number;
  /** True if the lease had expired when the store came back from an older copy. */
  readonly isEndedByReturn: boolean;
}

/** Options of {@link createPlacementLeader}. */
export interface PlacementLeaderOptions {
  readonly leaderLease: LeaderLease;
  readonly previous: Placement | undefined;
  /** Time for which a grant of the former leader may still be in effect, in milliseconds. */
  readonly inheritedForMs: number;
  /**
   * Asks the former leader again if it has not answered. Resolves to the time from then on for which
   * its grants may still be in effect, in milliseconds; to `undefined` while it does not answer.
   */
  readonly askFormerLeader?: (() => Promise<number | undefined>) | undefined;
  /** True if all leases of the former placement have ended. */
  readonly leasesEnded?: boolean;
  /** Converts a time of the store's clock to the latest monotonic time at which it can occur. */
  readonly toMonotonic: (storeMs: number) => number;
  readonly orders: ServerOrders;
  /** Addresses of the other routers that may reach servers. */
  reachers(): readonly string[];
  /** Asks another router to reach a server; see {@link ServerReachOptions.ask}. */
  askToReach(router: string, req: ReachRequest): Promise<OrderOutcome>;
  readonly directory: ServerDirectory;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Names of the partitioned services in the configuration. */
  partitionedServices(): readonly string[];
  /** Usual latency objective of a service's requests, in milliseconds; `undefined` if unknown. */
  objectiveMsOf(service: string): number | undefined;
  /** Share of the requests for a server's keys that the former leader admitted. */
  readonly formerShare: (server: string) => number;
  /**
   * Returns whether the keys of a service may be given to its servers in an availability zone; those
   * of the others are moved away.
   */
  mayOwnKeys(service: string, availabilityZone: string): boolean;
  /** Number of routers that share the load, including this one. */
  routers(): number;
  /** Addresses of other routers that may witness moves, the most recently heard first. */
  witnessCandidates(): readonly string[];
  /** Tells a router of the placement. */
  tellWitness(address: string, note: PlacementNote): Promise<NoteAnswer>;
  /** Limits that backend servers name. */
  readonly rates: Pick<ServerRates, 'limitOf'>;
  /** Suspect runs to store in the row. */
  suspects(): readonly AgedRun[];
  /** Addresses of other routers to store in the row. */
  knownPeers(): readonly string[];
  /** Processor time of the strongest router known, in cores. */
  strongestCapacity(): number;
}

/** Creates the leader of one epoch. */
export function createPlacementLeader(options: PlacementLeaderOptions): PlacementLeader {
  const { leaderLease, previous, directory, clocks, log } = options;
  const times: LeaseTimes = { leaseMs: LEASE_MS, transitMs: ORDER_TIMEOUT_MS };
  const startedAt = clocks.monotonic();
  let inheritedUntil = startedAt + options.inheritedForMs;
  const guard = createSuspensionGuard(clocks);
  const tables = inheritTables(previous, {
    leasesEnded: options.leasesEnded === true,
    answeredUntil: options.leasesEnded === true ? -Infinity : startedAt + maxLeaseMs(times),
    toMonotonic: options.toMonotonic,
  });
  const feed = createChangeFeed(leaderLease.epoch, tables, previous?.change ?? 0);
  const witnesses = createWitnesses({
    candidates: () => options.witnessCandidates(),
    tell: (address, note) => options.tellWitness(address, note),
    view: () => feed.view(),
    now: clocks.monotonic,
    pause,
    changedSince: (change) => feed.since(change),
  });
  const planWakeSignal = createWakeSignal();
  /** Ends the writer and thereby the run. */
  const writerAbort = new AbortController();
  /** Ends all tasks that send orders. */
  const orderAbort = new AbortController();
  // Each hand-over adds a listener, and there may be many at a time.
  setMaxListeners(0, orderAbort.signal);
  let nextFence = previous?.nextFence ?? 1;
  /** False while servers other than the owners may hold ranges. */
  let isVerified = previous?.isUnverified !== true;
  let hasSteppedDown = false;
  let successor: string | undefined;
  let invalidatedAt = -Infinity;

  /**
   * Returns when a holder can't hold its range any more, on the store's clock; 0 if it has released
   * the range.
   */
  function heldUntilMs(holder: Holder): number {
    // If this process was suspended while a grant was in flight, the lease of that grant is counted
    // from too early a time.
    const until = mayHoldUntil(ctx, holder) + ORDER_TIMEOUT_MS;
    return Math.max(0, leaderLease.storeTime(until));
  }

  function recordAll() {
    const recordTimes = { now: clocks.monotonic(), heldUntilMs };
    return new Map(
      [...tables].map(([service, table]) => [service, recordsOf(table, recordTimes)] as const),
    );
  }

  const content = () => ({
    change: feed.last(),
    nextFence,
    services: recordAll(),
    suspects: options.suspects(),
    peers: options.knownPeers(),
    strongestCapacity: options.strongestCapacity(),
    isUnverified: !isVerified,
  });

  const writer = createPlacementWriter({
    leaderLease,
    firstVersion: previous?.version ?? 0,
    content,
    onUnconfirmed() {
      const sinceMs = Math.round(leaderLease.sinceConfirmedMs());
      log.warn('leadership lease not confirmed', { epoch: leaderLease.epoch, sinceMs });
    },
  });

  /**
   * Returns whether leases may be renewed. After a possible suspension of the process, the
   * leadership lease is invalidated first, because another router may have acquired it meanwhile.
   */
  function mayRenew(): boolean {
    if (guard.mayHaveBeenSuspended()) {
      log.warn('clocks disagree, confirming the leadership lease first', {
        epoch: leaderLease.epoch,
      });
      leaderLease.invalidate();
      invalidatedAt = clocks.monotonic();
    }
    if (hasSteppedDown || orderAbort.signal.aborted) return false;
    if (leaderLease.isConfirmed()) return true;
    // True if no write has been confirmed that was sent after the lease was invalidated.
    const isInvalidated = leaderLease.sinceConfirmedMs() > clocks.monotonic() - invalidatedAt;
    return !isInvalidated && leaderLease.sinceConfirmedMs() < LEADER_LEASE_MS + RENEWAL_GRACE_MS;
  }

  const ctx: LeaderContext = {
    orders: options.orders,
    reach: createServerReach({
      others: () => options.reachers(),
      ask: (router, req) => options.askToReach(router, req),
      now: clocks.monotonic,
    }),
    directory,
    health: createServerHealth(),
    clocks,
    log,
    times,
    signal: orderAbort.signal,
    mayOrder: () => mayRenew() && leaderLease.isConfirmed(),
    mayRenew,
    inheritedUntil: () => inheritedUntil,
    noteChange: (range) => {
      feed.note(range);
    },
    persist: () => writer.persist(),
    limitOf: (incarnation) => options.rates.limitOf(incarnation),
    mayOwnKeys: (service, zone) => options.mayOwnKeys(service, zone),
    nextFence: () => nextFence++,
  };
  const planner = createServicePlanner(ctx);
  const admission = createOwnerAdmission({
    epoch: leaderLease.epoch,
    planner,
    log,
    formerShare: options.formerShare,
    objectiveMsOf: (service) => options.objectiveMsOf(service),
    routers: () => options.routers(),
    now: clocks.monotonic,
  });

  /** Divides the keys of new services, once their servers have had time to register. */
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

  /** Assigns owners to ranges without one; with `balance`, balances the load as well. */
  async function plan(balance: boolean): Promise<void> {
    divideNewServices();
    const joined = balance
      ? [...tables.values()].flatMap((it) =>
          joinUnderNewFence(it, MAX_JOINS_PER_PLAN, ctx.nextFence),
        )
      : [];
    const moved = [...tables].flatMap(([service, table]) => planner.plan(service, table, balance));
    if (balance) resumeHandOvers(new Set(moved));
    if (moved.length + joined.length === 0) return;
    log.info('ranges to move', {
      count: moved.length,
      joined: joined.length,
      keys: countKeys(moved),
      imbalance: Object.fromEntries(
        [...planner.balance()].map(([it, { imbalance }]) => [it, Number(imbalance.toFixed(2))]),
      ),
      epoch: leaderLease.epoch,
    });
    for (const range of moved) feed.note(range);
    const [isStored] = await freeOnError(moved, () =>
      Promise.all([writer.persist(), witnesses.tell()]),
    );
    if (!isStored) return;
    for (const range of joined) void runTask(ctx, () => grantJoined(ctx, range));
    for (const range of moved) {
      void runTask(ctx, () => handOver(ctx, range)).then(planWakeSignal.wake);
    }
  }

  async function planAll(): Promise<void> {
    let balanceAt = -Infinity;
    while (!orderAbort.signal.aborted) {
      const now = clocks.monotonic();
      const balance = now >= balanceAt;
      if (balance) balanceAt = now + BALANCE_INTERVAL_MS;
      if (balance && admission.update(tables)) feed.note();
      if (ctx.mayOrder() && directory.isLoaded()) await runTask(ctx, () => plan(balance));
      await planWakeSignal.wait(Math.max(1, balanceAt - clocks.monotonic()));
    }
  }

  /** Runs a step of a plan; if it fails, the ranges are free for the next plan. */
  async function freeOnError<T>(ranges: readonly HeldRange[], step: () => Promise<T>): Promise<T> {
    try {
      return await step();
    } catch (cause) {
      for (const range of ranges) range.busy = false;
      throw cause;
    }
  }

  /** Resumes the hand-overs that the former leader had begun, or that ended without a grant. */
  function resumeHandOvers(except: ReadonlySet<HeldRange> = new Set()): void {
    const unfinished = allRanges().filter(
      (it) => it.owner && !it.granted && !it.busy && !it.renewing && !except.has(it),
    );
    if (unfinished.length === 0) return;
    for (const range of unfinished) range.busy = true;
    void runTask(ctx, async () => {
      await freeOnError(unfinished, () => witnesses.tell());
      for (const range of unfinished) void runTask(ctx, () => handOver(ctx, range));
    });
  }

  /** Asks the former leader until it answers, or until its grants count for nothing. */
  async function askFormerLeader(): Promise<void> {
    const ask = options.askFormerLeader;
    const isAnyInherited = () =>
      allRanges().some((it) => [it.owner, ...it.former].some((holder) => holder?.inherited));
    while (ask && clocks.monotonic() < inheritedUntil && isAnyInherited()) {
      await pause(FORMER_LEADER_RETRY_MS);
      if (orderAbort.signal.aborted) return;
      const forMs = await ask();
      if (forMs === undefined) continue;
      inheritedUntil = Math.min(inheritedUntil, clocks.monotonic() + forMs);
      planWakeSignal.wake();
      return;
    }
  }

  /** Releases ranges at servers that may hold them although they don't own them. */
  async function verify(): Promise<void> {
    const from = clocks.monotonic();
    // A placement without ranges is divided only after servers have had time to register.
    if (tables.size === 0) await pause(FIRST_PLAN_DELAY_MS);
    while (!orderAbort.signal.aborted && !directory.isLoaded()) await pause(VERIFY_RETRY_MS);
    const services = new Set([...tables.keys(), ...options.partitionedServices()]);
    const silent = await Promise.all(
      [...services].map((it) => releaseOthers(ctx, it, tables.get(it)?.ranges ?? [])),
    );
    isVerified = true;
    log.info('ranges released at servers that do not own them', {
      epoch: leaderLease.epoch,
      silent: silent.flat(),
      afterMs: Math.round(clocks.monotonic() - from),
    });
  }

  async function pause(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: orderAbort.signal }).catch(() => undefined);
  }

  /** Sends orders to backend servers until `orderAbort` aborts. */
  async function sendOrders(): Promise<void> {
    if (!isVerified) await verify();
    resumeHandOvers();
    void runTask(ctx, askFormerLeader);
    await Promise.all([renewLeases(ctx, tables, planWakeSignal.wake), planAll()]);
  }

  /** Leaves the leadership to another router if this one can't go on with its orders. */
  async function sendOrdersOrStepDown(): Promise<void> {
    try {
      await sendOrders();
    } catch (cause) {
      writerAbort.abort();
      throw cause;
    }
  }

  function allRanges() {
    return [...tables.values()].flatMap((it) => it.ranges);
  }

  /**
   * Returns the time until all grants that are unanswered, in flight or inherited from the former
   * leader have expired, in milliseconds.
   */
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

  /** Waits until no order is in flight, for at most the timeout of an order. */
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
      firstFence: nextFence,
      inheritedForMs: Math.round(options.inheritedForMs),
    });
    const work = runTask(ctx, sendOrdersOrStepDown);
    await runTask(ctx, () => writer.run(writerAbort.signal));
    signal.removeEventListener('abort', onAbort);
    hasSteppedDown = true;
    const mustHandOver = signal.aborted || successor !== undefined;
    if (mustHandOver) {
      await finishOrders();
      // The witnesses learn of what was granted last, since the store may forget it.
      const told = witnesses.tell();
      if (leaderLease.isConfirmed())
        await writer.handOver({ unansweredForMs: unansweredForMs(), successor });
      await told;
    }
    orderAbort.abort();
    planWakeSignal.wake();
    await work;
    feed.close();
    log.info('no longer leading placement', { epoch: leaderLease.epoch });
  }

  return {
    epoch: leaderLease.epoch,
    era: () => leaderLease.era(),
    startedAt,
    view: () => feed.view(),
    balance: () => planner.balance(),
    admitted: admission.shares,
    queues: () => admission.queues(),
    changedSince: (knownChange) => feed.since(knownChange),
    waitForChange: (knownChange, waitMs) => feed.wait(knownChange, waitMs),
    report: (load) => {
      planner.record(load);
    },
    run,
    handOverLeadership(router) {
      log.info('handing over leadership to a router with more capacity', {
        epoch: leaderLease.epoch,
        successor: router,
      });
      successor = router;
      hasSteppedDown = true;
      writerAbort.abort();
    },
    persist() {
      void writer.persist();
    },
    witnesses: () => witnesses.addresses(),
    isLeaseExpired: () => !leaderLease.isConfirmed(),
    stepDown() {
      hasSteppedDown = true;
      writerAbort.abort();
      return unansweredForMs();
    },
    stopped: () => ({
      // Without a confirmed lease, another router may have led since and sent orders.
      content: { ...content(), isUnverified: !isVerified || !leaderLease.isConfirmed() },
      lapsedForMs: leaderLease.lapsedForMs(),
      isEndedByReturn: leaderLease.isEndedByReturn(),
      unansweredForMs: unansweredForMs(),
      storeNowMs: leaderLease.storeTime(clocks.monotonic()),
    }),
  };
}

/** Restores the tables from the row. */
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
