import type { ResultName } from '@boragepoint/config';

/**
 * Why a request was not admitted. It was not run in any of these cases:
 * - `overloaded`: the queue can't serve it before its deadline, or is full.
 * - `deadline-too-short`: the deadline can't be met even without waiting.
 * - `circuit-open`: the circuit breaker of the backend server is open.
 * - `expired`: it waited until its deadline could no longer be met.
 * - `cancelled`: the caller cancelled it.
 * - `closed`: the queue was closed.
 */
export type RefusalKind =
  'overloaded' | 'deadline-too-short' | 'circuit-open' | 'expired' | 'cancelled' | 'closed';

const RESULT_NAMES: Readonly<Record<RefusalKind, ResultName>> = {
  overloaded: 'overloaded',
  'deadline-too-short': 'deadlineTooShort',
  'circuit-open': 'ownerUnreachable',
  expired: 'overloaded',
  cancelled: 'overloaded',
  closed: 'routerNotReady',
};

/** A request that was not admitted and not run. */
export class AdmissionRefusal extends Error {
  override readonly name = 'AdmissionRefusal';

  /**
   * @param kind Why it was refused.
   * @param retryAfterMs Milliseconds after which the same request would be admitted if no other
   * request arrived; `undefined` if waiting does not help.
   */
  constructor(
    readonly kind: RefusalKind,
    readonly retryAfterMs?: number,
  ) {
    super(`not admitted: ${kind}`);
  }

  /** Name of the result code for the caller. */
  get resultName(): ResultName {
    return RESULT_NAMES[this.kind];
  }
}
