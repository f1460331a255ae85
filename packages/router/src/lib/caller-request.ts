import type { RequestMeta } from '@boragepoint/platform';

import type { Route } from './route-table.js';

/** A caller's whole request on its way through the router. */
export interface CallerRequest {
  readonly method: string;
  /** Path with its query, unchanged. */
  readonly target: string;
  readonly rawHeaders: readonly string[];
  readonly connection: string | undefined;
  readonly body: Buffer | undefined;
  readonly attemptId: string;
  /** IP address of the caller. */
  readonly caller: string;
  readonly meta: RequestMeta;
  readonly route: Route;
  readonly service: string;
  /** When its head arrived, on the monotonic clock. */
  readonly arrivedAt: number;
  /** When the router must have answered. */
  readonly answerBy: number;
  /** When the caller's deadline passes. */
  readonly deadlineAt: number;
  /** Aborts when the caller leaves. */
  readonly disconnectSignal: AbortSignal;
}
