/**
 * How a request to a backend server ended:
 * - `ok`: a complete answer was received.
 * - `refused`: the server did not run it, because it sheds load.
 * - `connection-lost`: no connection, or it was lost before the answer was complete.
 * - `timeout`: no complete answer within the deadline.
 * - `error`: the answer was a server error, too large or not valid.
 */
export type OutcomeKind = 'ok' | 'refused' | 'connection-lost' | 'timeout' | 'error';

/** Measured outcome of one request. */
export interface Outcome {
  readonly kind: OutcomeKind;
  /** Time from dispatch to the outcome, in milliseconds. */
  readonly latencyMs: number;
  /** Rule of the request; requests of one rule cost about the same. */
  readonly rule?: string | undefined;
  /** Requests running or waiting at the server, as its answer reported. */
  readonly serverLoad?: number | undefined;
}

/** True when the outcome counts against the server; a refusal does not. @internal */
export function isFailure(kind: OutcomeKind): boolean {
  return kind !== 'ok' && kind !== 'refused';
}
