import { setTimeout as sleep } from 'node:timers/promises';

import type { OrderOutcome, RowStore, ServerOrders } from '@boragepoint/platform';
import type { ReportRequest, RequestPermitsRequest } from '@boragepoint/protocol';

import { createKnownShares } from './admitted-shares.js';
import { becomeLeader } from './become-leader.js';
import { createCandidacy } from './candidacy.js';
import { createChangeSignal } from './change-signal.js';
import type { OnUnusable } from './decode-list.js';
import { createStepDownRequests } from './former-leader.js';
import { createKnownPeers } from './known-peers.js';
import { createKnownPlacement } from './known-placement.js';
import type { PlacementLogger } from './leader-context.js';
import { type StepDownReply, type StepDownRequest, createLeaderMemory } from './leader-memory.js';
import type { FetchedPlacement, LeaderAddress } from './leader-messages.js';
import { createLimitExchange } from './limit-exchange.js';
import { type Candidate, type LeaderLeaseReading, readLeaderLease } from './leader-lease.js';
import { createLeadershipTransfer } from './leadership-transfer.js';
import type { QueueFigures } from './owner-queues.js';
import {
  type PermitAllocator,
  type PermitsReply,
  type WantedPermits,
  createPermitAllocator,
} from './permit-allocator.js';
import { type PermitsAnswer, createPermitRequests } from './permit-requests.js';
import type { PlacementLeader } from './placement-leader.js';
import type { PlacementPeers } from './placement-peers.js';
import type { Placement } from './placement-record.js';
import { type PlacementView, viewOf, withChanges } from './placement-view.js';
import {
  MAX_UNANSWERED_GRANT_MS,
  type RecoveredPlacement,
  recoverPlacement,
} from './recover-placement.js';
import { createReportClient } from './report-client.js';
import type { NamedTableReport, ReportAnswer } from './report-messages.js';
import { MIN_REPORT_GAP_MS, createReportPacer, reportWaitMs } from './report-pacer.js';
import { type ReportReply, createReportResponder } from './report-responder.js';
import { comesBefore, createReporters } from './reporters.js';
import type { ServerDirectory } from './server-directory.js';
import type { LimitNotice, ServerLimits } from './server-limits.js';
import type { ServerRates } from './server-rates.js';
import type { ReachRequest } from './server-reach.js';
import type { PlacementBalance, ServiceLoadReport } from './service-planner.js';
import { createSuspectExchange } from './suspect-exchange.js';
import type { SuspectRecord } from './suspect-record.js';
import type { SuspectUpdate } from './suspect-run.js';
import type { Clocks } from './suspension-guard.js';
import type { PlacementNote } from './witnesses.js';

/** Longest time from one look of a leader at its own changes to the next, in milliseconds. */
const LEAD_CHECK_MS = 600;
/**
 * Time from when the answer to a report is due to when its leader counts as unreachable, in
 * milliseconds.
 */
const REPORT_TIMEOUT_MS = 800;
/**
 * Time for which the store must have answered a router before it checks the leadership lease, in
 * milliseconds.
 */
const MIN_SERVED_MS = 2_500;
/** Average pause between two searches for a leader, in milliseconds. */
const RETRY_MS = 300;
/** Time in which a witness has to answer, in milliseconds. */
const WITNESS_TIMEOUT_MS = 200;
/** Average pause between two attempts to claim an era, in milliseconds. */
const UNCLAIMED_RETRY_MS = 600;
/** Number of routers beyond which that pause grows with the fleet. */
const ROUTERS_PER_CLAIM_PAUSE = 60;
/**
 * Time between two checks whether the lease of a leader that the store does not confirm is free, in
 * milliseconds.
 */
const LEASE_CHECK_INTERVAL_MS = 1_000;
/** Time in which the other routers have reported to a new leader, in milliseconds. */
const FIRST_REPORTS_MS = 2_000;
/**
 * Time for which a leader remembers the capacity of a router that does not report to it, in
 * milliseconds.
 */
const CAPACITY_MEMORY_MS = 60_000;
/** Number of peers that a starting router reports to, besides the leader. */
const CATCH_UP_PEERS = 3;
/** Timeout of these reports, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 300;
/** Time after which a router serves although it has found no leader, in milliseconds. */
const CAUGHT_UP_AFTER_MS = 3_000;

/** Position of a router among all routers in the order of their regions and availability zones. */
export interface FleetPosition {
  /** From 0 to `routers - 1`. */
  readonly index: number;
  readonly routers: number;
}

/**
 * A router's part in placement: it follows the leader, or leads when the leadership lease is free.
 */
export interface PlacementMember {
  /** Start of this process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  /** The newest placement known. */
  view(): PlacementView;
  /** Number of routers that share the load, including this one. */
  routers(): number;
  /** Position of this router among all routers; `undefined` until a leader has told it. */
  position(): FleetPosition | undefined;
  isLeading(): boolean;
  /** How evenly keys are placed, by service; empty unless this router leads. */
  balance(): ReadonlyMap<string, PlacementBalance>;
  /** Queues of the owners of keys, by service; empty unless this router leads. */
  queues(): ReadonlyMap<string, QueueFigures>;
  /**
   * Returns whether the router has received the suspect runs of other routers, if there are any, or
   * has waited for them for `CAUGHT_UP_AFTER_MS`.
   */
  isCaughtUp(): boolean;
  /** Address of a random router with which reports were exchanged recently. */
  anyPeer(): string | undefined;
  /**
   * Answers waiting reports, because the store was lost or is back, or because the service registry
   * changed.
   */
  noteStoreChange(): void;
  /**
   * Shares suspect runs with the other routers; resolves once they received them, or after a
   * bounded wait.
   */
  shareSuspects(): Promise<void>;
  /** Merges suspect runs that another router shared; resolves once they have been passed on. */
  receiveSuspects(update: SuspectUpdate): Promise<void>;
  /**
   * Share of the requests for a server's keys that this router forwards; 1 unless the server is
   * overloaded.
   */
  admittedShare(server: string): number;
  /**
   * Asks the leader for permits to send requests to servers with a rate limit; `undefined` if it
   * does not answer in time.
   */
  requestPermits(
    wanted: readonly WantedPermits[],
    areCallersWaiting: boolean,
  ): Promise<readonly PermitsReply[] | undefined>;
  /** Tells the leader of limits that this router has seen. */
  shareLimits(): void;
  /** Answers another router's request for permits. */
  answerPermits(req: RequestPermitsRequest): PermitsAnswer;
  /** Resolves at the next change of the view, or after `ms` milliseconds. */
  waitForChange(ms: number): Promise<void>;
  /**
   * Time for which no range may be granted, because the store lacks what nobody else knows, in
   * milliseconds; 0 if that is not so.
   */
  unknownForMs(): number;
  /** Answers another router's report. */
  answerReport(req: ReportRequest): Promise<ReportReply>;
  /** Answers a router that looks for the newest placement beyond the store's copy. */
  knownPlacement(): FetchedPlacement | undefined;
  /** Notes what a leader tells a witness; returns false if this router lacks earlier changes. */
  notePlacement(note: PlacementNote): boolean;
  /**
   * Answers a request to step down: `gone` if it names another process, `refused` if this router
   * leads in the era that the asking one wants to claim.
   */
  answerStepDown(req: StepDownRequest): StepDownReply | 'gone' | 'refused';
  /** Reaches a backend server for a leader whose connection to it was refused. */
  reachServer(req: ReachRequest): Promise<OrderOutcome>;
  /**
   * Leads or follows until `leadSignal` aborts, then hands over if it leads; follows until
   * `followSignal` aborts.
   */
  run(leadSignal: AbortSignal, followSignal: AbortSignal): Promise<void>;
}

/** Options of {@link createPlacementMember}. */
export interface PlacementMemberOptions {
  readonly self: Candidate;
  /** Region and availability zone of this router. */
  readonly place: string;
  /** Processor time available to this process, in cores. */
  readonly capacity: number;
  readonly store: RowStore;
  readonly orders: ServerOrders;
  /** Opens a connection to an address and closes it; `unclear` if it is neither made nor refused. */
  probeServer(address: string): Promise<'listens' | 'refused' | 'unclear'>;
  readonly directory: ServerDirectory;
  readonly peers: PlacementPeers;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Names of the partitioned services; `undefined` until the configuration is known. */
  partitionedServices(): readonly string[] | undefined;
  /** Usual latency objective of a service's requests, in milliseconds; `undefined` if unknown. */
  objectiveMsOf(service: string): number | undefined;
  /**
   * Returns whether the keys of a service may be given to its servers in an availability zone; those
   * of the others are moved away.
   */
  mayOwnKeys(service: string, availabilityZone: string): boolean;
  /** Returns the load since the last call. */
  takeLoad(): readonly ServiceLoadReport[];
  /** Runs that may have ended their server, shared by all routers. */
  readonly suspects: SuspectRecord;
  /** Limits that backend servers name, shared by all routers. */
  readonly limits: ServerLimits;
  /** Rate limits of backend servers from all sources. */
  readonly rates: ServerRates;
  /** Called with the limits that changed because of other routers. */
  onLimitsLearned(changed: readonly LimitNotice[]): void;
  /** State of the store's tables, as known to this router. */
  tables(): readonly NamedTableReport[];
  /** Called with the state of the store's tables, as known to the leader. */
  onTableReports(tables: readonly NamedTableReport[]): void;
  /** Called with what can't be used of the stored placement and of reports. */
  readonly onUnusable?: OnUnusable;
}

/** Creates a member. */
export function createPlacementMember(options: PlacementMemberOptions): PlacementMember {
  const { self, store, peers, clocks, suspects } = options;
  const reporters = createReporters(clocks);
  const knownPeers = createKnownPeers(self.address);
  const known = createKnownPlacement();
  const memory = createLeaderMemory({ self, clocks, log: options.log });
  const admitted = createKnownShares(clocks.monotonic);
  const viewSignal = createChangeSignal();
  const pacer = createReportPacer();
  const storeChanges = createChangeSignal();
  const exchange = createSuspectExchange({
    address: self.address,
    record: suspects,
    peers,
    clocks,
    log: options.log,
    reporters: () => (leader ? reporters.addresses() : undefined),
    leader: () => followedLeader?.address,
    others: () => knownPeers.all(),
    onChange: () => leader?.persist(),
  });
  const limitExchange = createLimitExchange({
    limits: options.limits,
    clocks,
    log: options.log,
    onLearned(changed) {
      options.onLimitsLearned(changed);
      storeChanges.wakeAll();
    },
  });
  const permits = createPermitRequests({
    self,
    limits: options.limits,
    exchange: limitExchange,
    peers,
    allocator: () => (leader ? allocator : undefined),
    leader: () => followedLeader?.address,
  });
  const reportClient = createReportClient({
    ...options,
    exchange,
    limitExchange,
    view: () => known.view(),
    knownAdmitted: admitted.knownChange,
    isServedByStore: () => isServedByStore(),
    isStopping: () => isStopping,
  });
  const requestStepDown = createStepDownRequests({
    peers,
    now: clocks.monotonic,
  });
  const transferLeadership = createLeadershipTransfer(options.capacity, clocks);
  const candidacy = createCandidacy(self, options.capacity, clocks.monotonic);
  let routers = 1;
  let position: FleetPosition | undefined;
  let leader: PlacementLeader | undefined;
  /** Gives permits out while this router leads. */
  let allocator: PermitAllocator | undefined;
  let leaderRun: Promise<void> = Promise.resolve();
  /** The strongest capacity that the former leader stored, in cores. */
  let formerCapacity = 0;
  /** The leader to report to. */
  let followedLeader: LeaderAddress | undefined;
  /** When the last read of the row was sent, on the monotonic clock. */
  let leaseReadAt = -Infinity;
  let isLeaderLeaseExpired = false;
  let isCaughtUp = false;
  let isStopping = false;
  const createdAt = clocks.monotonic();

  // The leader confirms its lease in a new era as soon as any call tells of it.
  store.onEra(() => leader?.persist());

  function updateView(view: PlacementView): void {
    if (known.update(view)) viewSignal.wakeAll();
  }

  /** Returns whether the store answers this router. */
  const isServedByStore = () => options.directory.currentSince() < Infinity;
  const countRouters = () => reporters.count() + 1;
  const selfPlaced = { router: self.router, place: options.place };
  const ledForMs = () => (leader ? clocks.monotonic() - leader.startedAt : 0);

  /** Position of a router, once the others have had time to report to this leader. */
  function positionOf(router: typeof selfPlaced): number | undefined {
    if (ledForMs() < FIRST_REPORTS_MS) return undefined;
    return reporters.countBefore(router) + (comesBefore(selfPlaced, router) ? 1 : 0);
  }

  /** Keeps the last position while a new leader does not know it yet. */
  function updatePosition(index: number | undefined): void {
    if (index === undefined || index >= routers) return;
    if (index !== position?.index || routers !== position.routers) position = { index, routers };
  }

  /**
   * Addresses of the routers that may reach servers. A router that has just begun to lead adds those
   * that it knows, since some may not have reported to it yet.
   */
  function reachers(): readonly string[] {
    const reporting = reporters.mayReachServers();
    if (ledForMs() >= FIRST_REPORTS_MS) return reporting;
    return [...new Set([...reporting, ...knownPeers.all()])];
  }

  function strongestCapacity(): number {
    const known = Math.max(options.capacity, reporters.strongest()?.capacity ?? 0);
    return ledForMs() < CAPACITY_MEMORY_MS ? Math.max(known, formerCapacity) : known;
  }

  async function acquireLease(
    reading: LeaderLeaseReading,
    signal: AbortSignal,
    recovered?: RecoveredPlacement,
  ): Promise<void> {
    const partitionedServices = () => options.partitionedServices() ?? [];
    const former = reading.placement ?? reading.copy;
    formerCapacity = former?.strongestCapacity ?? 0;
    const created = await becomeLeader({
      ...options,
      requestStepDown,
      partitionedServices,
      formerShare: admitted.shareOf,
      routers: countRouters,
      suspects: () => exchange.runsToStore(),
      knownPeers: () => knownPeers.all(),
      strongestCapacity,
      reachers: () => reachers(),
      askToReach: (router, req) => peers.reachServer(router, req),
      witnessCandidates: () => [...reporters.addresses(), ...knownPeers.all()],
      tellWitness: (address, note) => peers.notePlacement(address, note, WITNESS_TIMEOUT_MS),
      reading,
      knownEpoch: Math.max(known.view().epoch, memory.lastEpochLed()),
      ...(recovered && { recovered }),
      signal,
    });
    if (!created) return;
    leader = created;
    allocator = createPermitAllocator({
      rates: options.rates,
      now: clocks.monotonic,
      random: Math.random,
    });
    isCaughtUp = true;
    memory.noteLed(created.epoch);
    updateView(created.view());
    followedLeader = undefined;
    leaderRun = created
      .run(signal)
      .catch(noteFailure)
      .finally(() => {
        memory.keepStopped(created);
        leader = undefined;
      });
  }

  /** Asks a known router for the leader; used while the store does not answer. */
  async function askPeer(): Promise<void> {
    const address = knownPeers.any();
    if (address === undefined) return;
    const answer = await reportClient.report(address, { waitMs: 0, timeoutMs: REPORT_TIMEOUT_MS });
    if (!answer) knownPeers.forget(address);
    else if (answer.leads)
      followedLeader = { router: address, address, epoch: answer.view?.epoch ?? 0 };
    else followedLeader = answer.leader;
  }

  /**
   * Fetches what other routers have learned since the row was written; called when this router
   * starts.
   */
  async function catchUp(placement: Placement): Promise<void> {
    const addresses = [placement.leaderLease.address, ...placement.peers.slice(-CATCH_UP_PEERS)];
    knownPeers.note(addresses);
    const others = new Set(addresses.filter((it) => it !== self.address));
    const times = { waitMs: 0, timeoutMs: CATCH_UP_TIMEOUT_MS };
    await Promise.all([...others].map((address) => reportClient.report(address, times)));
  }

  /**
   * Acquires the leadership lease of an era that no leader has claimed, once the placement to start
   * from is known. Until then, the leader of the earlier era may claim it.
   */
  async function claimEra(reading: LeaderLeaseReading, signal: AbortSignal): Promise<void> {
    const { era, copy } = reading;
    memory.noteUnclaimed(era);
    followedLeader = undefined;
    if (copy) {
      if (known.updateFromCopy(viewOf(copy))) viewSignal.wakeAll();
      exchange.mergeStored(copy.suspects);
      if (!isCaughtUp) await catchUp(copy);
      isCaughtUp = true;
    }
    if (signal.aborted || options.partitionedServices() === undefined) return;
    const view = known.beyondCopy();
    const recovered = await recoverPlacement({
      ...options,
      requestStepDown,
      reading,
      unclaimedForMs: memory.noteUnclaimed(era),
      view,
      ...memory.knowledgeOf(view),
      stopped: memory.lastStopped(),
      onFound(newest) {
        updateView(newest.view);
        memory.noteHeard(clocks.monotonic() - newest.heardAgoMs);
      },
      noteStepDown: (epoch, answer) => memory.noteStepDown(epoch, answer),
      addresses: knownPeers.all(),
    });
    if (recovered) await acquireLease(reading, signal, recovered);
    else await askPeer();
  }

  /**
   * Reads the row to get the placement and the leader, or acquires the leadership lease if it is
   * free.
   */
  async function refresh(signal: AbortSignal): Promise<void> {
    leaseReadAt = clocks.monotonic();
    const reading = await readLeaderLease(store, clocks, options.onUnusable);
    if (!reading) {
      await askPeer();
      return;
    }
    if (reading.era > 0 && !reading.placement) {
      await claimEra(reading, signal);
      return;
    }
    memory.noteClaimed();
    if (reading.placement) {
      updateView(viewOf(reading.placement));
      exchange.mergeStored(reading.placement.suspects);
      if (!isCaughtUp) await catchUp(reading.placement);
      isCaughtUp = true;
    }
    const mayLead = !signal.aborted && options.partitionedServices() !== undefined;
    if (mayLead && candidacy.mayAcquire(reading)) {
      await acquireLease(reading, signal);
      return;
    }
    followedLeader = reading.placement?.leaderLease;
  }

  function leadOnce(leading: PlacementLeader): void {
    for (const load of options.takeLoad()) leading.report(load);
    updateView(leading.view());
    admitted.apply({
      epoch: leading.epoch,
      shares: leading.admitted.all(),
      change: leading.admitted.change(),
      isComplete: true,
    });
    routers = countRouters();
    updatePosition(positionOf(selfPlaced));
    transferLeadership(leading, reporters.strongest());
  }

  function handleLostLeader(
    followed: LeaderAddress,
    answer: ReportAnswer | undefined,
    askedAt: number,
  ) {
    options.log.info('leader does not answer reports or no longer leads', {
      leader: followed.router,
      epoch: followed.epoch,
      answer: answer ? 'does not lead' : 'none',
      afterMs: Math.round(clocks.monotonic() - askedAt),
    });
    const named = answer?.leader;
    // A leader of a later epoch is followed without reading the row; the row is read if it does not
    // lead.
    followedLeader = named && named.epoch > followed.epoch ? named : undefined;
  }

  /**
   * Reports to a leader and applies its answer; returns false if it does not lead or does not
   * answer.
   */
  async function followOnce(followed: LeaderAddress): Promise<boolean> {
    const waitMs = reportWaitMs(routers);
    const times = { waitMs, timeoutMs: waitMs + REPORT_TIMEOUT_MS };
    const askedAt = clocks.monotonic();
    const answer = await reportClient.report(followed.address, times, options.takeLoad());
    if (!answer?.leads) {
      handleLostLeader(followed, answer, askedAt);
      return false;
    }
    if (memory.noteAnswer(followed, answer)) {
      options.log.info('following the leader', { leader: followed.router, epoch: followed.epoch });
    }
    knownPeers.note([...answer.peers, ...answer.witnesses, followed.address]);
    // Applied before the placement, which may name servers that are new in the registry.
    if (answer.servers) options.directory.applyUpdate(answer.servers);
    if (answer.view)
      updateView(answer.isComplete ? answer.view : withChanges(known.view(), answer.view));
    routers = Math.max(1, answer.routers);
    updatePosition(answer.position);
    if (answer.admitted) admitted.apply(answer.admitted);
    options.onTableReports(answer.tables);
    isLeaderLeaseExpired = answer.isLeaseExpired;
    return true;
  }

  /**
   * Returns whether the store has answered this router for some time and the row was not read
   * recently. After an outage for all routers, that time lets the leader confirm its lease first.
   */
  function mayReadLease(): boolean {
    const now = clocks.monotonic();
    const servedForMs = now - options.directory.currentSince();
    return servedForMs >= MIN_SERVED_MS && now >= leaseReadAt + LEASE_CHECK_INTERVAL_MS;
  }

  const isLeading = () => leader !== undefined;

  /** Logs an unexpected error; the router goes on leading or following. */
  function noteFailure(cause: unknown): void {
    options.log.warn('placement task failed unexpectedly', { reason: String(cause) });
  }

  /** Runs once; after an unexpected error it waits before the next time. */
  async function runOnceSafely(signal: AbortSignal): Promise<void> {
    try {
      await runOnce(signal);
    } catch (cause) {
      noteFailure(cause);
      await sleep(RETRY_MS);
    }
  }

  /**
   * Leads, follows, or searches for a leader; acquires the leadership lease only until the signal
   * aborts.
   */
  async function runOnce(signal: AbortSignal): Promise<void> {
    const leading = leader;
    if (leading) {
      leadOnce(leading);
      await Promise.race([
        leading.waitForChange(known.view().change, LEAD_CHECK_MS),
        sleep(LEAD_CHECK_MS),
      ]);
      updateView(leading.view());
      await sleep(MIN_REPORT_GAP_MS);
      return;
    }
    if (followedLeader && (await followOnce(followedLeader))) {
      if (isLeaderLeaseExpired && mayReadLease()) await refresh(signal);
      else await pacer.wait(routers);
      return;
    }
    if (followedLeader) return;
    await refresh(signal);
    // All routers of a fleet may wait for the same few that know something.
    const claimPauseMs = UNCLAIMED_RETRY_MS * Math.max(1, routers / ROUTERS_PER_CLAIM_PAUSE);
    const isUnclaimed = memory.unclaimedForMs() !== undefined;
    const pauseMs = isUnclaimed ? claimPauseMs : RETRY_MS;
    if (!isLeading()) await sleep(pauseMs * (0.5 + Math.random()));
  }

  const answerReport = createReportResponder({
    startedMs: self.startedMs,
    exchange,
    suspects,
    limitExchange,
    reporters,
    directory: options.directory,
    leader: () => leader,
    followedLeader: () => followedLeader,
    routers: countRouters,
    positionOf,
    tables: () => options.tables(),
    storeChanges,
    onUnusable: options.onUnusable,
  });

  return {
    startedMs: self.startedMs,
    view: () => known.view(),
    routers: () => routers,
    position: () => position,
    isLeading,
    balance: () => leader?.balance() ?? new Map<string, PlacementBalance>(),
    queues: () => leader?.queues() ?? new Map<string, QueueFigures>(),
    isCaughtUp: () => isCaughtUp || clocks.monotonic() > createdAt + CAUGHT_UP_AFTER_MS,
    anyPeer: () => knownPeers.any(),
    noteStoreChange() {
      storeChanges.wakeAll();
    },
    shareSuspects: () => exchange.share(),
    async receiveSuspects(update) {
      const hasChanged = exchange.receive(update) > 0;
      // A leader shares its runs with all other routers itself.
      if (hasChanged && update.from !== followedLeader?.address) await exchange.passOn();
    },
    admittedShare: admitted.shareOf,
    requestPermits: (wanted, areCallersWaiting) => permits.request(wanted, areCallersWaiting),
    shareLimits() {
      if (leader) storeChanges.wakeAll();
      else void permits.share();
    },
    answerPermits: (req) => permits.answer(req),
    unknownForMs() {
      const unclaimedForMs = memory.unclaimedForMs();
      if (unclaimedForMs === undefined || known.beyondCopy()) return 0;
      return Math.max(UNCLAIMED_RETRY_MS, MAX_UNANSWERED_GRANT_MS - unclaimedForMs);
    },
    waitForChange(ms) {
      pacer.expedite();
      return viewSignal.wait(ms);
    },
    answerReport(req) {
      knownPeers.note([req.address]);
      isCaughtUp = true;
      return answerReport(req);
    },
    knownPlacement() {
      if (leader) {
        const { epoch } = leader;
        return {
          view: leader.view(),
          leader: { ...self, epoch },
          isWitness: true,
          heardAgoMs: 0,
        };
      }
      const view = known.beyondCopy();
      return view && { view, ...memory.knowledgeOf(view) };
    },
    notePlacement({ view, isComplete, after }) {
      const current = known.view();
      if (view.epoch < current.epoch) return false;
      const hasEarlier = view.epoch === current.epoch && current.change >= after;
      if (!isComplete && !hasEarlier) return false;
      updateView(isComplete ? view : withChanges(current, view));
      memory.noteWitnessed(view.epoch);
      return true;
    },
    answerStepDown: (req) => memory.answerStepDown(req, leader),
    async reachServer({ target, release, timeoutMs }) {
      if (release) return options.orders.release(target, release, timeoutMs);
      const result = await options.probeServer(target.address);
      if (result === 'listens') return { kind: 'done', handover: undefined };
      return { kind: result === 'refused' ? 'closed' : 'unanswered' };
    },
    async run(leadSignal, followSignal) {
      leadSignal.addEventListener('abort', () => {
        isStopping = true;
      });
      const ended = new Promise((resolve) => {
        followSignal.addEventListener('abort', resolve);
      });
      while (!followSignal.aborted) await Promise.race([runOnceSafely(leadSignal), ended]);
      await leaderRun;
    },
  };
}
