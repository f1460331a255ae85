import type { RowUpdate, TableReport } from '@boragepoint/platform';
import type { ReportRequestSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type { ReceivedShares } from './admitted-shares.js';
import type { LeaderAddress } from './leader-messages.js';
import type { AgedLimit } from './limit-exchange.js';
import type { PlacementView } from './placement-view.js';
import type { AgedRun } from './suspect-run.js';

/** A report to the leader. */
export type Report = MessageInitShape<typeof ReportRequestSchema>;

/** A leader's answer to a report. */
export interface ReportAnswer {
  /** False if the answering router does not lead; then there is no view. */
  readonly leads: boolean;
  /** The whole placement, or its changed ranges. */
  readonly view: PlacementView | undefined;
  /** True if the view is the whole placement. */
  readonly isComplete: boolean;
  /** Number of routers that share the load. */
  readonly routers: number;
  /**
   * Position of the reporting router among these in the order of their places; `undefined` if the
   * leader does not know it.
   */
  readonly position: number | undefined;
  readonly suspects: readonly AgedRun[];
  /**
   * Number of the last change in the answering router's record of suspect runs that the answer
   * includes.
   */
  readonly knownSuspects: number;
  /** `undefined` if the answering router does not lead. */
  readonly admitted: ReceivedShares | undefined;
  /**
   * The leader's lease has expired without confirmation by the store: a router that reaches the
   * store may acquire it.
   */
  readonly isLeaseExpired: boolean;
  /** Addresses of some other routers. */
  readonly peers: readonly string[];
  /** Addresses of the routers that the leader tells of each move. */
  readonly witnesses: readonly string[];
  /** The leader that the answering router follows, if it does not lead itself. */
  readonly leader: LeaderAddress | undefined;
  /** State of the store's tables, as known to the leader. */
  readonly tables: readonly NamedTableReport[];
  /** Changes of the service registry since the reported version. */
  readonly servers: RowUpdate | undefined;
  /** Limits of backend servers that changed since the reported change. */
  readonly limits: readonly AgedLimit[];
  /** Number of the answering router's last change of limits that the answer includes. */
  readonly knownLimits: number;
  /** Start of the answering process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
}

/** State of a table of the store, as known to a router. */
export type NamedTableReport = TableReport & { readonly table: string };
