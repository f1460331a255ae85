import type { FleetConfig, ServerEntry } from './fleet-config.js';
import type { RowStore, StoredRow } from './row-store.js';
import type { ServerOrders } from './server-orders.js';

/** Headers of a request, names in lower case. */
export type HeaderValues = Readonly<Record<string, string | string[] | undefined>>;

/** What the headers of a caller's request say to the router. */
export interface RequestMeta {
  /** Identifies this attempt of the caller. */
  readonly attemptId: string | undefined;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Key of a request to a partitioned service. */
  readonly key: number | undefined;
}

/** Load that a backend server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the headers of a backend server's answer say to the router. */
export interface AnswerMeta {
  readonly attemptId: string | undefined;
  /** The server states that it did not run the request. */
  readonly notRun: boolean;
  /** The answer is the server's own and not that of some program in between. */
  readonly signed: boolean;
  readonly load: ReportedLoad | undefined;
  /** The server says that it leaves. */
  readonly leaving: boolean;
  /** For how long the server wants nothing more from this router, in milliseconds; `undefined` if it does not say. */
  readonly backoffMs: number | undefined;
}

/** Reads and writes the headers by which callers, router and backend servers talk. */
export interface HeaderCodec {
  readRequest(headers: HeaderValues): RequestMeta;
  readAnswer(status: number, headers: HeaderValues): AnswerMeta;
  /** Headers that the router adds to a request, instead of the caller's of the same name. */
  writeRequest(serverId: string, deadlineMs: number): Record<string, string>;
  /** Header of an answer that names the request it belongs to. */
  writeAnswer(attemptId: string): Record<string, string>;
}

/** Everything that the router asks of the platform it runs on. */
export interface FleetPlatform {
  readonly store: RowStore;
  readonly orders: ServerOrders;
  readonly headers: HeaderCodec;
  /** Table with the configuration, and its decoder; `undefined` for a row that holds none. */
  readonly configTable: string;
  decodeConfig(row: StoredRow): FleetConfig | undefined;
  /** Table with one row for each backend server; `undefined` for a row that names none. */
  readonly serverTable: string;
  decodeServer(row: StoredRow): ServerEntry | undefined;
}
