import type { Result } from 'neverthrow';

import type { FleetConfig, ServerEntry } from './fleet-config.js';
import type { RowStore, StoredRow } from './row-store.js';
import type { ServerOrders } from './server-orders.js';

/** Headers of a request or an answer; names are in lower case. */
export type HeaderValues = Readonly<Record<string, string | string[] | undefined>>;

/** Metadata that the router reads from the headers of a caller's request. */
export interface RequestMeta {
  /** Id that the caller gives to this attempt. */
  readonly attemptId: string | undefined;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Key of the request, for a partitioned service. */
  readonly key: number | undefined;
}

/** Load that a backend server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the server at this moment, as a multiple of the usual time. */
  readonly slowdown: number;
}

/** Metadata that the router reads from the headers of a backend server's answer. */
export interface AnswerMeta {
  /**
   * Id of the attempt that the answer names. Servers name it in every answer, refusals included;
   * one that names none, or another one, says nothing about the request.
   */
  readonly attemptId: string | undefined;
  /** True if the server declares that it did not run the request. */
  readonly notRun: boolean;
  /** True if the answer comes from the server itself and not from an intermediary. */
  readonly signed: boolean;
  readonly load: ReportedLoad | undefined;
  /** True if the server announces that it is about to stop. */
  readonly leaving: boolean;
  /**
   * Back-off that the server asks this router for, in milliseconds; `undefined` if it asks for
   * none.
   */
  readonly backoffMs: number | undefined;
  /**
   * Requests per second that the server takes from all routers together; `undefined` if it names no
   * limit, `unreadable` if it names one that can't be decoded.
   */
  readonly limitPerS: number | 'unreadable' | undefined;
}

/** Reads and writes the headers that callers, routers and backend servers exchange. */
export interface HeaderCodec {
  readRequest(headers: HeaderValues): RequestMeta;
  readAnswer(status: number, headers: HeaderValues): AnswerMeta;
  /**
   * Headers that the router sets on a request, replacing the caller's headers of the same names.
   */
  writeRequest(serverId: string, deadlineMs: number): Record<string, string>;
  /** Header of an answer that identifies the attempt it belongs to. */
  writeAnswer(attemptId: string): Record<string, string>;
}

/** Everything that the router needs from the platform it runs on. */
export interface FleetPlatform {
  readonly store: RowStore;
  readonly orders: ServerOrders;
  readonly headers: HeaderCodec;
  /** Table that holds the configuration. */
  readonly configTable: string;
  /**
   * Decodes a row of the configuration table; `undefined` for a row that holds something else, the
   * reason as error for a configuration that can't be used.
   */
  decodeConfig(row: StoredRow): Result<FleetConfig | undefined, string>;
  /**
   * Returns the availability zone whose evacuation a row of the configuration table asks for, for as
   * long as the row exists; `undefined` for other rows.
   */
  decodeEvacuation(row: Pick<StoredRow, 'key'>): string | undefined;
  /** Table with one row for each backend server. */
  readonly serverTable: string;
  /** Decodes a row of the server table; the reason as error if it describes no usable server. */
  decodeServer(row: StoredRow): Result<ServerEntry, string>;
}
