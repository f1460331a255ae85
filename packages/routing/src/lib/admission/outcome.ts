/**
 * How a request to a backend server ended:
 * - `ok`: a whole answer arrived.
 * - `refused`: the server did not run it, because it sheds load.
 * - `connection-lost`: no connection, or the connection ended before the answer was whole.
 * - `timeout`: no whole answer within the deadline.
 * - `error`: the server answered that it failed.
 */
export type OutcomeKind = 'ok' | 'refused' | 'connection-lost' | 'timeout' | 'error';

/** Measured outcome of one request. */
export interface Outcome {
  readonly kind: OutcomeKind;
  /** Time from dispatch to the end, in milliseconds. */
  readonly latencyMs: number;
  /** Rule of the request; requests of one rule cost about the same. */
  readonly rule?: string | undefined;
  /** Requests that ran or waited at the server, as its answer said. */
  readonly serverLoad?: number | undefined;
}

/** True when the outcome counts against the server; a refusal does not. @internal */
export function isFailure(kind: OutcomeKind): boolean {
  return kind !== 'ok' && kind !== 'refused';
}
