import { setTimeout as sleep } from 'node:timers/promises';

import type { RowStore, ServerOrders } from '@boragepoint/platform';
import type { ReportRequest } from '@boragepoint/protocol';

import { MAX_UNANSWERED_GRANT_MS, becomeLeader } from './become-leader.js';
import { createKnownPeers } from './known-peers.js';
import type { PlacementLogger } from './leader-context.js';
import {
  type Candidate,
  type LeaderLeaseReading,
  mayAcquire,
  readLeaderLease,
} from './leader-lease.js';
import type { AdmittedShares } from './overload.js';
import type { PlacementLeader } from './placement-leader.js';
import type {
  LeaderAddress,
  PlacementPeers,
  ReportAnswer,
  SuspectUpdate,
  TableAdvice,
} from './placement-peers.js';
import type { Placement } from './placement-record.js';
import {
  NO_PLACEMENT,
  type PlacementView,
  isNewer,
  viewOf,
  withChanges,
} from './placement-view.js';
import { type ReportReply, createReportResponder } from './report-responder.js';
import { createReportClient } from './report-client.js';
import { MIN_REPORT_GAP_MS, createReportPacer } from './report-pacer.js';
import { createReporters } from './reporters.js';
import { createLeadershipTransfer } from './leadership-transfer.js';
import type { ServerDirectory } from './server-directory.js';
import type { ServiceLoadReport } from './service-planner.js';
import type { SuspectRecord } from './suspect-record.js';
import { createSuspectExchange } from './suspect-exchange.js';
import type { Clocks } from './suspension-guard.js';
import { createChangeSignal } from './change-signal.js';

/** Longest time that the leader holds the answer to a report without a change, in milliseconds. */
const REPORT_WAIT_MS = 600;
/** Time beyond it after which the leader counts as unreachable, in milliseconds. */
const REPORT_TIMEOUT_MS = 800;
/** Time for which the store must have answered a router that looks, in milliseconds. */
const MIN_SERVED_MS = 2_500;
const RETRY_MS = 300;
/** What a leader said of overloaded servers is forgotten after this time, in milliseconds. */
const ADMITTED_TTL_MS = 3_000;
/** Time between two looks whether the seat of a leader without the store's word is free, in milliseconds. */
const LEASE_CHECK_INTERVAL_MS = 1_000;
/** Routers that one which starts asks, and its patience with them in milliseconds. */
const CATCH_UP_PEERS = 3;
const CATCH_UP_TIMEOUT_MS = 300;
/** Time after which a router serves although it has heard of no leader, in milliseconds. */
const CAUGHT_UP_AFTER_MS = 3_000;

/** A router's part in placement: it follows the leader, or leads when the seat is free. */
export interface PlacementMember {
  /** Start of this process, milliseconds of the time of day. */
  readonly startedMs: number;
  /** The newest placement known. */
  view(): PlacementView;
  /** Routers that share the load, this one included. */
  routers(): number;
  isLeading(): boolean;
  /** Other routers, if there are any, have told this one what must not be sent again. */
  isCaughtUp(): boolean;
  /** Where some router answers that reported, or was reported to, lately. */
  anyPeer(): string | undefined;
  /** The store was lost or is back, or the service registry changed: reports that wait are answered. */
  noteStoreChange(): void;
  /** Tells the other routers of suspect runs; resolves once they have been told, or after a bounded wait. */
  shareSuspects(): Promise<void>;
  /** Takes in suspect runs that another router tells; resolves once those that this one tells have been told. */
  receiveSuspects(update: SuspectUpdate): Promise<void>;
  /** Share of the requests for a server's keys that this router sends on, 1 unless the server is overloaded. */
  admittedShare(server: string): number;
  /** Resolves at the next change of the view, or after `ms`. */
  waitForChange(ms: number): Promise<void>;
  /** Answers another router's report. */
  answerReport(req: ReportRequest): Promise<ReportReply>;
  /** Answers a successor; the time in milliseconds, `undefined` if this process was not the leader. */
  answerStepDown(epoch: number, startedMs: number): number | undefined;
  /** Leads or follows until `lead` aborts, then hands over if this router leads; follows until `follow` aborts. */
  run(leadSignal: AbortSignal, followSignal: AbortSignal): Promise<void>;
}

/** What a member needs. */
export interface PlacementMemberOptions {
  readonly self: Candidate;
  /** Processor time that the instance gives this process, in cores. */
  readonly capacity: number;
  readonly store: RowStore;
  readonly orders: ServerOrders;
  readonly directory: ServerDirectory;
  readonly peers: PlacementPeers;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  /** Names of the partitioned services; `undefined` before the configuration is known. */
  partitionedServices(): readonly string[] | undefined;
  /** How long before its end a server says that it leaves, in milliseconds. */
  drainNoticeMs(): number;
  /** Load since the last call. */
  takeLoad(): readonly ServiceLoadReport[];
  /** Runs that may have ended their server, as all routers see them. */
  readonly suspects: SuspectRecord;
  /** What this router knows of the store's tables. */
  tables(): readonly TableAdvice[];
  /** The leader tells what it knows of the store's tables. */
  onAdvice(tables: readonly TableAdvice[]): void;
}

/** Creates a member. */
export function createPlacementMember(options: PlacementMemberOptions): PlacementMember {
  const { self, store, peers, clocks, suspects } = options;
  const reporters = createReporters(clocks);
  const knownPeers = createKnownPeers(self.address);
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
  const reportClient = createReportClient({
    ...options,
    exchange,
    view: () => currentView,
    isServedByStore: () => isServedByStore(),
  });
  const transferLeadership = createLeadershipTransfer(options.capacity, clocks);
  let currentView: PlacementView = NO_PLACEMENT;
  let routers = 1;
  let admitted: { shares: AdmittedShares; until: number } = { shares: new Map(), until: 0 };
  let leader: PlacementLeader | undefined;
  let leaderRun: Promise<void> = Promise.resolve();
  let lastEpochLed = 0;
  /** Whom to report to. */
  let followedLeader: LeaderAddress | undefined;
  /** Epoch of the leader that answered last. */
  let followedEpoch: number | undefined;
  /** When the row was read last. */
  let leaseReadAt = -Infinity;
  let isLeaderLeaseExpired = false;
  /** This process has heard what other routers know of suspect runs, if there are any. */
  let isCaughtUp = false;
  const createdAt = clocks.monotonic();

  function updateView(view: PlacementView): void {
    if (!isNewer(view, currentView)) return;
    currentView = view;
    viewSignal.wakeAll();
  }

  function updateAdmitted(shares: AdmittedShares): void {
    admitted = { shares, until: clocks.monotonic() + ADMITTED_TTL_MS };
  }

  /** The store answers this router. */
  const isServedByStore = () => options.directory.currentSince() < Infinity;
  const countRouters = () => reporters.count() + 1;

  async function acquireLease(reading: LeaderLeaseReading, signal: AbortSignal): Promise<void> {
    const partitionedServices = () => options.partitionedServices() ?? [];
    const created = await becomeLeader({
      ...options,
      partitionedServices,
      routers: countRouters,
      suspects: () => exchange.runsToStore(),
      knownPeers: () => knownPeers.all(),
      reading,
      signal,
    });
    if (!created) return;
    leader = created;
    isCaughtUp = true;
    lastEpochLed = created.epoch;
    followedLeader = undefined;
    leaderRun = created.run(signal).finally(() => {
      leader = undefined;
    });
  }

  /** Asks any router that is known whom it follows, for when the store does not say. */
  async function askPeer(): Promise<void> {
    const address = knownPeers.any();
    if (address === undefined) return;
    const answer = await reportClient.report(address, { waitMs: 0, timeoutMs: REPORT_TIMEOUT_MS });
    if (!answer) knownPeers.forget(address);
    else if (answer.leads)
      followedLeader = { router: address, address, epoch: answer.view?.epoch ?? 0 };
    else followedLeader = answer.leader;
  }

  /** Learns what other routers have found out since the row was written, for a router that starts. */
  async function catchUp(placement: Placement): Promise<void> {
    const addresses = [placement.leaderLease.address, ...placement.peers.slice(-CATCH_UP_PEERS)];
    knownPeers.note(addresses);
    const others = new Set(addresses.filter((it) => it !== self.address));
    const times = { waitMs: 0, timeoutMs: CATCH_UP_TIMEOUT_MS };
    await Promise.all([...others].map((address) => reportClient.report(address, times)));
  }

  /** Reads the row: learns the placement and the leader, or takes the seat. */
  async function refresh(signal: AbortSignal): Promise<void> {
    leaseReadAt = clocks.monotonic();
    const reading = await readLeaderLease(store, clocks);
    if (!reading) {
      await askPeer();
      return;
    }
    if (reading.placement) {
      updateView(viewOf(reading.placement));
      exchange.mergeStored(reading.placement.suspects);
      if (!isCaughtUp) await catchUp(reading.placement);
      isCaughtUp = true;
    }
    const mayLead = !signal.aborted && options.partitionedServices() !== undefined;
    if (mayLead && mayAcquire(reading, self)) {
      await acquireLease(reading, signal);
      return;
    }
    followedLeader = reading.placement?.leaderLease;
  }

  function leadOnce(leading: PlacementLeader): void {
    for (const load of options.takeLoad()) leading.report(load);
    updateView(leading.view());
    updateAdmitted(leading.admitted());
    routers = countRouters();
    transferLeadership(leading, reporters.strongest());
  }

  function handleLostLeader(
    leading: LeaderAddress,
    answer: ReportAnswer | undefined,
    askedAt: number,
  ) {
    options.log.info('leader does not answer reports', {
      leader: leading.router,
      epoch: leading.epoch,
      answer: answer ? 'does not lead' : 'none',
      afterMs: Math.round(clocks.monotonic() - askedAt),
    });
    const named = answer?.leader;
    // A leader of a later term is followed at its word; the row says whether it really leads.
    followedLeader = named && named.epoch > leading.epoch ? named : undefined;
  }

  /** Reports to a leader and takes over what it answers; false if it does not lead. */
  async function followOnce(leading: LeaderAddress): Promise<boolean> {
    const times = { waitMs: REPORT_WAIT_MS, timeoutMs: REPORT_WAIT_MS + REPORT_TIMEOUT_MS };
    const askedAt = clocks.monotonic();
    const answer = await reportClient.report(leading.address, times, options.takeLoad());
    if (!answer?.leads) {
      handleLostLeader(leading, answer, askedAt);
      return false;
    }
    if (followedEpoch !== leading.epoch) {
      followedEpoch = leading.epoch;
      options.log.info('following the leader', { leader: leading.router, epoch: leading.epoch });
    }
    knownPeers.note([...answer.peers, leading.address]);
    // The placement may name servers that are new.
    if (answer.servers) options.directory.learn(answer.servers);
    if (answer.view)
      updateView(answer.isComplete ? answer.view : withChanges(currentView, answer.view));
    routers = Math.max(1, answer.routers);
    updateAdmitted(answer.admitted);
    options.onAdvice(answer.tables);
    isLeaderLeaseExpired = answer.isLeaseExpired;
    return true;
  }

  /**
   * The store has answered this router for some time, and it has not looked at the row just now. After an outage for
   * all, the leader has that time to confirm its seat.
   */
  function mayReadLease(): boolean {
    const now = clocks.monotonic();
    const servedForMs = now - options.directory.currentSince();
    return servedForMs >= MIN_SERVED_MS && now >= leaseReadAt + LEASE_CHECK_INTERVAL_MS;
  }

  const isLeading = () => leader !== undefined;

  /** Leads, follows, or looks for whom to follow; takes the seat only until the signal aborts. */
  async function runOnce(signal: AbortSignal): Promise<void> {
    const leading = leader;
    if (leading) {
      leadOnce(leading);
      await Promise.race([
        leading.waitForChange(currentView.change, REPORT_WAIT_MS),
        sleep(REPORT_WAIT_MS),
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
    if (!isLeading()) await sleep(RETRY_MS * (0.5 + Math.random()));
  }

  const answerReport = createReportResponder({
    startedMs: self.startedMs,
    exchange,
    suspects,
    reporters,
    directory: options.directory,
    leader: () => leader,
    followedLeader: () => followedLeader,
    routers: countRouters,
    tables: () => options.tables(),
    storeChanges,
  });

  return {
    startedMs: self.startedMs,
    view: () => currentView,
    routers: () => routers,
    isLeading,
    isCaughtUp: () => isCaughtUp || clocks.monotonic() > createdAt + CAUGHT_UP_AFTER_MS,
    anyPeer: () => knownPeers.any(),
    noteStoreChange() {
      storeChanges.wakeAll();
    },
    shareSuspects: () => exchange.share(),
    async receiveSuspects(update) {
      const hasChanged = exchange.receive(update) > 0;
      // The leader tells all others itself.
      if (hasChanged && update.from !== followedLeader?.address) await exchange.share();
    },
    admittedShare: (server) =>
      clocks.monotonic() < admitted.until ? (admitted.shares.get(server) ?? 1) : 1,
    waitForChange(ms) {
      pacer.expedite();
      return viewSignal.wait(ms);
    },
    answerReport(req) {
      knownPeers.note([req.address]);
      isCaughtUp = true;
      return answerReport(req);
    },
    answerStepDown(epoch, startedMs) {
      if (startedMs !== self.startedMs) return undefined;
      if (leader?.epoch === epoch) return leader.stepDown();
      return epoch <= lastEpochLed ? MAX_UNANSWERED_GRANT_MS : 0;
    },
    async run(leadSignal, followSignal) {
      const ended = new Promise((resolve) => {
        followSignal.addEventListener('abort', resolve);
      });
      while (!followSignal.aborted) await Promise.race([runOnce(leadSignal), ended]);
      await leaderRun;
    },
  };
}
