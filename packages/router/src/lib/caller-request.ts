import type { RequestMeta } from '@boragepoint/platform';

import type { Route } from './route-table.js';

/** A caller's request, read in full. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly target: string;
  /** Header names and values in alternation. */
  readonly rawHeaders: readonly string[];
  /** Value of the `Connection` header. */
  readonly connection: string | undefined;
  readonly body: Buffer | undefined;
  /** Id that the caller gave to this attempt of its request. */
  readonly attemptId: string;
  /** IP address of the caller. */
  readonly caller: string;
  readonly meta: RequestMeta;
  readonly route: Route;
  readonly service: string;
  /** When the headers arrived, in milliseconds of the monotonic clock. */
  readonly arrivedAt: number;
  /** When the router must answer at the latest, in milliseconds of the monotonic clock. */
  readonly answerBy: number;
  /** When the caller's deadline passes, in milliseconds of the monotonic clock. */
  readonly deadlineAt: number;
  /** Aborts when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
}
