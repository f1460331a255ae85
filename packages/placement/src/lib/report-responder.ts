import type { ReportRequest, ReportResponseSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type { PlacementLeader } from './placement-leader.js';
import type { LeaderAddress, TableAdvice } from './placement-peers.js';
import type { Reporters } from './reporters.js';
import type { ServerDirectory } from './server-directory.js';
import type { SuspectExchange } from './suspect-exchange.js';
import type { SuspectRecord } from './suspect-record.js';
import type { ChangeSignal } from './change-signal.js';

/** Largest part of the service registry that an answer brings, in bytes; with more the store is asked. */
const MAX_UPDATE_BYTES = 128 * 1_024;

/** Answer to a report as it goes over the wire. */
export type ReportReply = MessageInitShape<typeof ReportResponseSchema>;

/** What answering reports needs. */
export interface ReportResponderOptions {
  /** Start of this process, milliseconds of the time of day. */
  readonly startedMs: number;
  readonly exchange: SuspectExchange;
  readonly suspects: SuspectRecord;
  readonly reporters: Reporters;
  readonly directory: ServerDirectory;
  /** This router's leadership; `undefined` while it does not lead. */
  leader(): PlacementLeader | undefined;
  /** The leader that this router follows. */
  followedLeader(): LeaderAddress | undefined;
  /** Routers that share the load, this one included. */
  routers(): number;
  tables(): readonly TableAdvice[];
  /** Woken when the store is lost or back, or the registry changed: the routers that report have to know at once. */
  readonly storeChanges: ChangeSignal;
}

/** Answers another router's report, at the next change or after the wait that it asks for. */
export type ReportResponder = (req: ReportRequest) => Promise<ReportReply>;

const leaderMessage = ({ router, address, epoch }: LeaderAddress) => ({
  router,
  address,
  epoch: BigInt(epoch),
});

/** Number of the change that a router knows of this leader's term; below 0 if it knows none. */
function knownChangeOf(req: ReportRequest, leading: PlacementLeader): number {
  return Number(req.knownEpoch) === leading.epoch ? Number(req.knownChange) : -1;
}

/** Creates the answers of one router. */
export function createReportResponder(options: ReportResponderOptions): ReportResponder {
  const { exchange, suspects, reporters, directory } = options;

  /** Answer of a router that does not lead: it says whom it follows, and what it knows of suspect runs. */
  function replyNotLeading(req: ReportRequest, knownSuspects: number): ReportReply {
    const followedLeader = options.followedLeader();
    return {
      leads: false,
      startedMs: BigInt(options.startedMs),
      ...exchange.replyFields(req.address, knownSuspects),
      ...(followedLeader && { leader: leaderMessage(followedLeader) }),
    };
  }

  /** What became of the service registry since the reporting router knew it. */
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

  function applyReport(req: ReportRequest, leading: PlacementLeader): void {
    reporters.note(req);
    for (const load of req.services) leading.report(load);
    for (const { server, startedMs } of req.leaving) {
      directory.noteLeaving({ server, startedMs: Number(startedMs) });
    }
  }

  return async (req) => {
    const leading = options.leader();
    const knownSuspects = exchange.receiveReport(req);
    if (!leading) return replyNotLeading(req, knownSuspects);
    applyReport(req, leading);
    const knownChange = knownChangeOf(req, leading);
    // What changed while the router stood between two reports is told at once.
    let servers = registryUpdateFor(req);
    if (!servers) {
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
    const services = isComplete ? view.services : leading.changedSince(knownChange);
    return {
      leads: true,
      startedMs: BigInt(options.startedMs),
      epoch: BigInt(view.epoch),
      change: BigInt(view.change),
      routers: options.routers(),
      complete: isComplete,
      tenureOver: leading.isLeaseExpired(),
      peers: reporters.someAddresses(req.address),
      ...exchange.replyFields(req.address, knownSuspects),
      ...(servers && { servers }),
      tables: options.tables().map((it) => ({ ...it, version: BigInt(it.version) })),
      admitted: [...leading.admitted()].map(([server, share]) => ({ server, share })),
      services: [...services].map(([service, ranges]) => ({
        service,
        ranges: ranges.map((it) => ({ ...it, owner: it.owner ?? '' })),
      })),
    };
  };
}
