import { setTimeout as sleep } from 'node:timers/promises';

import type { RowStore, ServerOrders } from '@boragepoint/platform';
import type { ReportRequest, ReportResponseSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { UNANSWERED_MS, becomeLeader } from './become-leader.js';
import { type CrashedRun, createCrashRecord, encodeCrash } from './crash-record.js';
import type { PlacementLog } from './leader-context.js';
import { type Candidate, type SeatReading, mayTake, readSeat } from './leader-seat.js';
import type { AdmittedShares } from './overload.js';
import type { PlacementLeader } from './placement-leader.js';
import type { PlacementPeers } from './placement-peers.js';
import type { Seat } from './placement-record.js';
import {
  NO_PLACEMENT,
  type PlacementView,
  isNewer,
  viewOf,
  withChanges,
} from './placement-view.js';
import type { ServerDirectory } from './server-directory.js';
import type { ServiceLoadReport } from './service-planner.js';
import type { Clocks } from './suspension-guard.js';
import { createWaiters } from './waiters.js';

/** Longest time that the leader holds the answer to a report without a change, in milliseconds. */
const REPORT_WAIT_MS = 600;
/** Time beyond it after which the leader counts as unreachable, in milliseconds. */
const REPORT_TIMEOUT_MS = 800;
/** Shortest time between two reports, in milliseconds. */
const REPORT_GAP_MS = 150;
const RETRY_MS = 300;
/** What a leader said of overloaded servers is forgotten after this time, in milliseconds. */
const ADMITTED_MS = 3_000;
/** A router that has not reported for this long counts as gone, in milliseconds. */
const REPORTER_MS = 3_500;

/** Answer to a report as it goes over the wire. */
export type ReportReply = MessageInitShape<typeof ReportResponseSchema>;

/** A router's part in placement: it follows the leader, or leads when the seat is free. */
export interface PlacementMember {
  /** The newest placement known. */
  view(): PlacementView;
  /** Routers that share the load, this one included. */
  routers(): number;
  isLeading(): boolean;
  /** Servers that ended lately, on any router's account, while they ran equal requests. */
  crashesOf(fingerprintOf: () => string): number;
  /** Share of the requests for a server's keys that this router sends on, 1 unless the server is overloaded. */
  admittedShare(server: string): number;
  /** Resolves at the next change of the view, or after `ms`. */
  waitForChange(ms: number): Promise<void>;
  /** Answers another router's report. */
  answerReport(req: ReportRequest): Promise<ReportReply>;
  /** Answers a successor; the time in milliseconds, `undefined` if this process was not the leader. */
  answerYield(epoch: number, startedMs: number): number | undefined;
  /** Leads or follows until `lead` aborts, then hands over if this router leads; follows until `follow` aborts. */
  run(lead: AbortSignal, follow: AbortSignal): Promise<void>;
}

/** What a member needs. */
export interface PlacementMemberOptions {
  readonly self: Candidate;
  readonly store: RowStore;
  readonly orders: ServerOrders;
  readonly directory: ServerDirectory;
  readonly peers: PlacementPeers;
  readonly clocks: Clocks;
  readonly log: PlacementLog;
  /** Names of the partitioned services; `undefined` before the configuration is known. */
  partitionedServices(): readonly string[] | undefined;
  /** How long before its end a server says that it leaves, in milliseconds. */
  drainNoticeMs(): number;
  /** Load since the last call. */
  takeLoad(): readonly ServiceLoadReport[];
  /** Crashes since the last call. */
  takeCrashes(): readonly CrashedRun[];
}

/** Creates a member. */
export function createPlacementMember(options: PlacementMemberOptions): PlacementMember {
  const { self, store, peers, clocks } = options;
  const reporters = new Map<string, number>();
  const waiters = createWaiters();
  const crashes = createCrashRecord();
  let current: PlacementView = NO_PLACEMENT;
  let routers = 1;
  let admitted: { shares: AdmittedShares; until: number } = { shares: new Map(), until: 0 };
  let leader: PlacementLeader | undefined;
  let leaderRun: Promise<void> = Promise.resolve();
  let lastEpochLed = 0;
  let seat: Seat | undefined;
  let followed: number | undefined;

  function adopt(view: PlacementView): void {
    if (!isNewer(view, current)) return;
    current = view;
    waiters.wakeAll();
  }

  function admit(shares: AdmittedShares): void {
    admitted = { shares, until: clocks.monotonic() + ADMITTED_MS };
  }

  function countReporters(): number {
    const oldest = clocks.monotonic() - REPORTER_MS;
    for (const [router, at] of reporters) if (at < oldest) reporters.delete(router);
    return reporters.size + 1;
  }

  async function takeSeat(reading: SeatReading, signal: AbortSignal): Promise<void> {
    const partitionedServices = () => options.partitionedServices() ?? [];
    const created = await becomeLeader({
      ...options,
      partitionedServices,
      routers: countReporters,
      reading,
      signal,
    });
    if (!created) return;
    leader = created;
    lastEpochLed = created.epoch;
    seat = undefined;
    leaderRun = created.run(signal).finally(() => {
      leader = undefined;
    });
  }

  /** Reads the row: learns the placement and the leader, or takes the seat. */
  async function refresh(signal: AbortSignal): Promise<void> {
    const reading = await readSeat(store, clocks);
    if (!reading) return;
    if (reading.placement) adopt(viewOf(reading.placement));
    const mayLead = !signal.aborted && options.partitionedServices() !== undefined;
    if (mayLead && mayTake(reading, self)) {
      await takeSeat(reading, signal);
      return;
    }
    seat = reading.placement?.seat;
  }

  function lead(leading: PlacementLeader): void {
    for (const load of options.takeLoad()) leading.report(load);
    crashes.add(options.takeCrashes(), clocks.monotonic());
    adopt(leading.view());
    admit(leading.admitted());
    routers = countReporters();
  }

  async function follow(leading: Seat): Promise<boolean> {
    const crashed = options.takeCrashes();
    crashes.add(crashed, clocks.monotonic());
    const report = {
      crashes: crashed.map(encodeCrash),
      router: self.router,
      startedMs: BigInt(self.startedMs),
      knownEpoch: BigInt(current.epoch),
      knownChange: BigInt(current.change),
      waitMs: REPORT_WAIT_MS,
      services: options.takeLoad().map((it) => ({
        service: it.service,
        keys: [...it.keys],
        servers: [...it.servers],
      })),
    };
    const timeoutMs = REPORT_WAIT_MS + REPORT_TIMEOUT_MS;
    const askedAt = clocks.monotonic();
    const answer = await peers.report(leading.address, report, timeoutMs);
    if (!answer?.leads) {
      options.log.info('leader does not answer reports', {
        leader: leading.router,
        epoch: leading.epoch,
        answer: answer ? 'does not lead' : 'none',
        afterMs: Math.round(clocks.monotonic() - askedAt),
      });
      return false;
    }
    if (followed !== leading.epoch) {
      followed = leading.epoch;
      options.log.info('following the leader', { leader: leading.router, epoch: leading.epoch });
    }
    if (answer.view) adopt(answer.isComplete ? answer.view : withChanges(current, answer.view));
    routers = Math.max(1, answer.routers);
    admit(answer.admitted);
    crashes.add(answer.crashes, clocks.monotonic());
    return true;
  }

  const isLeading = () => leader !== undefined;

  /** Leads, follows, or looks for whom to follow; takes the seat only until the signal aborts. */
  async function turn(signal: AbortSignal): Promise<void> {
    const leading = leader;
    if (leading) {
      lead(leading);
      await Promise.race([
        leading.waitForChange(current.change, REPORT_WAIT_MS),
        sleep(REPORT_WAIT_MS),
      ]);
      adopt(leading.view());
      await sleep(REPORT_GAP_MS);
      return;
    }
    if (seat && (await follow(seat))) {
      await sleep(REPORT_GAP_MS);
      return;
    }
    await refresh(signal);
    if (!isLeading()) await sleep(RETRY_MS * (0.5 + Math.random()));
  }

  async function answerReport(req: ReportRequest): Promise<ReportReply> {
    const leading = leader;
    if (!leading) return { leads: false };
    reporters.set(req.router, clocks.monotonic());
    for (const load of req.services) leading.report(load);
    const reported = req.crashes.map((it) => ({ ...it, startedMs: Number(it.startedMs) }));
    crashes.add(reported, clocks.monotonic());
    const known = Number(req.knownEpoch) === leading.epoch ? Number(req.knownChange) : -1;
    await leading.waitForChange(known, req.waitMs);
    if (leading !== leader) return { leads: false };
    const view = leading.view();
    const isComplete = known < 0;
    const services = isComplete ? view.services : leading.changedSince(known);
    return {
      leads: true,
      epoch: BigInt(view.epoch),
      change: BigInt(view.change),
      routers: countReporters(),
      complete: isComplete,
      crashes: crashes.list(clocks.monotonic()).map(encodeCrash),
      admitted: [...leading.admitted()].map(([server, share]) => ({ server, share })),
      services: [...services].map(([service, ranges]) => ({
        service,
        ranges: ranges.map((it) => ({ ...it, owner: it.owner ?? '' })),
      })),
    };
  }

  return {
    view: () => current,
    routers: () => routers,
    isLeading,
    crashesOf: (fingerprintOf) => crashes.countOf(fingerprintOf, clocks.monotonic()),
    admittedShare: (server) =>
      clocks.monotonic() < admitted.until ? (admitted.shares.get(server) ?? 1) : 1,
    waitForChange(ms) {
      return waiters.wait(ms);
    },
    answerReport,
    answerYield(epoch, startedMs) {
      if (startedMs !== self.startedMs) return undefined;
      if (leader?.epoch === epoch) return leader.yieldSeat();
      return epoch <= lastEpochLed ? UNANSWERED_MS : 0;
    },
    async run(lead, follow) {
      const ended = new Promise((resolve) => {
        follow.addEventListener('abort', resolve);
      });
      while (!follow.aborted) await Promise.race([turn(lead), ended]);
      await leaderRun;
    },
  };
}
