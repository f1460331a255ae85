import type { ReportRequest, ReportResponseSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type { ChangeSignal } from './change-signal.js';
import { type OnUnusable, decodeList } from './decode-list.js';
import { LAST_KEY } from './key-range.js';
import type { LeaderAddress } from './leader-messages.js';
import { type LimitExchange, decodeLimit, encodeLimit } from './limit-exchange.js';
import type { PlacementLeader } from './placement-leader.js';
import { encodeServices, encodeTable } from './peer-messages.js';
import type { NamedTableReport } from './report-messages.js';
import type { Reporter, Reporters } from './reporters.js';
import type { ServerDirectory } from './server-directory.js';
import type { SuspectExchange } from './suspect-exchange.js';
import type { ServiceLoadReport } from './service-planner.js';
import type { SuspectRecord } from './suspect-record.js';
import { decodeCount } from './wire-number.js';

/**
 * Largest update of the service registry in an answer, in bytes; beyond it, the reporting router
 * asks the store.
 */
const MAX_UPDATE_BYTES = 128 * 1_024;

/** Answer to a report, as sent over the wire. */
export type ReportReply = MessageInitShape<typeof ReportResponseSchema>;

/** Options of {@link createReportResponder}. */
export interface ReportResponderOptions {
  /** Start of this process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  readonly exchange: SuspectExchange;
  readonly suspects: SuspectRecord;
  readonly limitExchange: LimitExchange;
  readonly reporters: Reporters;
  readonly directory: ServerDirectory;
  /** Returns the leader that runs in this router; `undefined` while the router does not lead. */
  leader(): PlacementLeader | undefined;
  /** Returns the leader that this router follows. */
  followedLeader(): LeaderAddress | undefined;
  /** Number of routers that share the load, including this one. */
  routers(): number;
  /** Position of a router among all routers; `undefined` while not all have reported. */
  positionOf(router: Pick<Reporter, 'router' | 'place'>): number | undefined;
  /** State of the store's tables, as known to this router. */
  tables(): readonly NamedTableReport[];
  /**
   * Wakes waiting reports when the store is lost or back, or when the service registry or limits
   * changed, so that reporting routers learn of it immediately.
   */
  readonly storeChanges: ChangeSignal;
  readonly onUnusable?: OnUnusable | undefined;
}

/** Answers another router's report, at the next change or after the wait time in the report. */
export type ReportResponder = (req: ReportRequest) => Promise<ReportReply>;

const leaderMessage = ({ router, address, epoch }: LeaderAddress) => ({
  router,
  address,
  epoch: BigInt(epoch),
});

/**
 * Returns the last change of this leader's epoch that the reporting router knows; -1 if it knows
 * none.
 */
function knownChangeOf(req: ReportRequest, leading: PlacementLeader): number {
  return Number(req.knownEpoch) === leading.epoch ? Number(req.knownChange) : -1;
}

/**
 * Whether a report may come from a router that starts: it asks for what is known, and waits for no
 * news. One that looks for the leader while the store is away asks in the same way.
 */
const isStarting = (req: ReportRequest) => req.waitMs === 0;

/** Leaves out keys that do not exist, and measurements that are no sums of times. */
function usableLoad({ service, keys, servers }: ServiceLoadReport): ServiceLoadReport {
  const isSum = (sum: number) => sum >= 0 && sum < Infinity;
  return {
    service,
    keys: keys.filter((it) => it <= LAST_KEY),
    servers: servers.filter(
      (it) => isSum(it.latencyMs) && isSum(it.units) && isSum(it.queuedPerSlot),
    ),
  };
}

/** Creates the responder of one router. */
export function createReportResponder(options: ReportResponderOptions): ReportResponder {
  const { exchange, suspects, limitExchange, reporters, directory } = options;

  /**
   * Returns the answer of a router that does not lead, with the leader that it follows and its
   * suspect runs.
   */
  function replyNotLeading(req: ReportRequest, knownSuspects: number): ReportReply {
    const followedLeader = options.followedLeader();
    return {
      leads: false,
      startedMs: BigInt(options.startedMs),
      ...exchange.replyFields(req.address, knownSuspects, isStarting(req)),
      ...limitFieldsFor(req),
      ...(followedLeader && { leader: leaderMessage(followedLeader) }),
    };
  }

  /**
   * Returns the changes of the service registry since the version that the reporting router knows.
   */
  function registryUpdateFor(req: ReportRequest): ReportReply['servers'] {
    const known = Number(req.knownServers);
    const update = known > 0 ? directory.updateSince(known) : undefined;
    const bytes = update?.changed.reduce((sum, it) => sum + it.value.length, 0) ?? 0;
    if (!update || bytes > MAX_UPDATE_BYTES) return undefined;
    return {
      version: BigInt(update.version),
      changed: update.changed.map((it) => ({ ...it, version: BigInt(it.version) })),
      removed: [...update.removed],
    };
  }

  /** Returns the limits that the reporting router does not know. */
  function limitFieldsFor({ address, knownLimits: known }: ReportRequest) {
    const { limits, knownLimits } = limitExchange.replyFields(address, Number(known));
    return { limits: limits.map(encodeLimit), knownLimits: BigInt(knownLimits) };
  }

  /** Returns the admitted shares that the reporting router does not know. */
  function admittedFieldsFor(req: ReportRequest, { epoch, admitted }: PlacementLeader) {
    const known = Number(req.knownEpoch) === epoch ? Number(req.knownAdmitted) : 0;
    const shares = known > 0 ? admitted.since(known) : admitted.all();
    return {
      admitted: [...shares].map(([server, share]) => ({ server, share })),
      admittedChanges: known > 0,
      knownAdmitted: BigInt(admitted.change()),
    };
  }

  function applyReport(req: ReportRequest, leading: PlacementLeader): void {
    // A router whose processor time is no number is not made the leader because of it.
    reporters.note({ ...req, capacity: Number.isFinite(req.capacity) ? req.capacity : 0 });
    for (const load of req.services) leading.report(usableLoad(load));
    for (const { server, startedMs: wire } of req.leaving) {
      const startedMs = decodeCount(wire);
      if (startedMs !== undefined) directory.noteLeaving({ server, startedMs });
    }
  }

  return async (req) => {
    const arrivedAt = performance.now();
    const leading = options.leader();
    const knownSuspects = exchange.receiveReport(req);
    limitExchange.receive(req.address, {
      limits: decodeList(
        req.limits,
        decodeLimit,
        { source: 'limits', from: req.address },
        options.onUnusable,
      ),
      startedMs: Number(req.startedMs),
    });
    if (!leading) return replyNotLeading(req, knownSuspects);
    applyReport(req, leading);
    const knownChange = knownChangeOf(req, leading);
    // Changes of the registry since the router's last report are sent without waiting, except
    // heartbeats: servers write them all the time, and they go with the next answer.
    let servers = registryUpdateFor(req);
    if (!servers || !directory.hasNewsSince(Number(req.knownServers))) {
      await Promise.race([
        leading.waitForChange(knownChange, req.waitMs),
        suspects.waitForChange(knownSuspects, req.waitMs),
        options.storeChanges.wait(req.waitMs),
      ]);
      servers = registryUpdateFor(req);
    }
    if (leading !== options.leader()) return replyNotLeading(req, knownSuspects);
    const view = leading.view();
    const isComplete = knownChange < 0;
    const position = options.positionOf(req);
    const services = isComplete ? view.services : leading.changedSince(knownChange);
    return {
      leads: true,
      startedMs: BigInt(options.startedMs),
      epoch: BigInt(view.epoch),
      change: BigInt(view.change),
      routers: options.routers(),
      ...(position !== undefined && { position }),
      complete: isComplete,
      tenureOver: leading.isLeaseExpired(),
      peers: reporters.someAddresses(req.address),
      witnesses: [...leading.witnesses()],
      ...exchange.replyFields(req.address, knownSuspects, isStarting(req)),
      ...limitFieldsFor(req),
      ...(servers && { servers }),
      tables: options.tables().map((it) => encodeTable(it, arrivedAt)),
      ...admittedFieldsFor(req, leading),
      services: encodeServices(services),
    };
  };
}
