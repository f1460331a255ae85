import type { Candidate } from './leader-lease.js';
import { type LimitExchange, encodeLimit } from './limit-exchange.js';
import type { PlacementPeers } from './placement-peers.js';
import type { PlacementView } from './placement-view.js';
import type { ReportAnswer } from './report-messages.js';
import type { ServerDirectory } from './server-directory.js';
import type { ServiceLoadReport } from './service-planner.js';
import type { ServerLimits } from './server-limits.js';
import type { SuspectExchange } from './suspect-exchange.js';
import { encodeRun } from './suspect-run.js';

/** Options of {@link createReportClient}. */
export interface ReportClientOptions {
  readonly self: Candidate;
  /** Region and availability zone of this router. */
  readonly place: string;
  /** Processor time available to this process, in cores. */
  readonly capacity: number;
  readonly peers: Pick<PlacementPeers, 'report'>;
  readonly directory: ServerDirectory;
  readonly exchange: SuspectExchange;
  readonly limits: ServerLimits;
  readonly limitExchange: LimitExchange;
  /** Returns the newest placement known. */
  view(): PlacementView;
  /** Number of the last change of admitted shares known of an epoch's leader. */
  knownAdmitted(epoch: number): number;
  /** Returns whether the store answers this router. */
  isServedByStore(): boolean;
  /** Returns whether this process is about to end. */
  isStopping(): boolean;
}

/** Times of one report. */
export interface ReportTimeouts {
  /** Longest time for which the other router delays its answer until a change, in milliseconds. */
  readonly waitMs: number;
  /** Timeout of the call, in milliseconds. */
  readonly timeoutMs: number;
}

/** Sends reports to other routers, and merges the suspect runs and limits in their answers. */
export interface ReportClient {
  /** Resolves to `undefined` without a usable answer in time. */
  report(
    address: string,
    times: ReportTimeouts,
    loads?: readonly ServiceLoadReport[],
  ): Promise<ReportAnswer | undefined>;
}

/** Creates the client of one router. */
export function createReportClient(options: ReportClientOptions): ReportClient {
  const { self, directory, exchange, limits, limitExchange, peers } = options;

  function buildReport(
    address: string,
    suspectFields: ReturnType<SuspectExchange['reportFields']>,
    waitMs: number,
    loads: readonly ServiceLoadReport[],
  ) {
    const limitFields = limitExchange.reportFields(address);
    const known = options.view();
    return {
      suspects: suspectFields.suspects.map(encodeRun),
      knownSuspects: BigInt(suspectFields.knownSuspects),
      limits: limitFields.limits.map(encodeLimit),
      knownLimits: BigInt(limitFields.knownLimits),
      leaving: directory.leaving().map((it) => ({ ...it, startedMs: BigInt(it.startedMs) })),
      router: self.router,
      address: self.address,
      place: options.place,
      capacity: options.capacity,
      servedByStore: options.isServedByStore(),
      stopping: options.isStopping(),
      startedMs: BigInt(self.startedMs),
      knownEpoch: BigInt(known.epoch),
      knownChange: BigInt(known.change),
      knownAdmitted: BigInt(options.knownAdmitted(known.epoch)),
      knownServers: BigInt(directory.knownVersion()),
      waitMs,
      services: loads.map((it) => ({
        service: it.service,
        keys: [...it.keys],
        servers: [...it.servers],
      })),
    };
  }

  return {
    async report(address, { waitMs, timeoutMs }, loads = []) {
      const suspectFields = exchange.reportFields(address);
      const limitsSharedUpTo = limits.change();
      const report = buildReport(address, suspectFields, waitMs, loads);
      const answer = await peers.report(address, report, timeoutMs);
      if (answer) {
        exchange.noteAnswer(address, suspectFields.sharedUpTo, answer);
        limitExchange.noteAnswer(address, limitsSharedUpTo, answer);
      }
      return answer;
    },
  };
}
