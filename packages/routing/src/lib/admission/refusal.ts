import type { ResultName } from '@boragepoint/config';

/**
 * Why a request was not admitted; it was not run in any case:
 * - `overloaded`: the queue can't serve it before its deadline, or is full.
 * - `deadline-too-short`: even without a queue the deadline can't be met.
 * - `circuit-open`: the backend server fails.
 * - `expired`: it waited until its deadline could not be met any more.
 * - `cancelled`: the caller gave it up.
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
   * @param retryAfterMs Milliseconds after which the same request would be admitted if nothing
   * else arrived; `undefined` when waiting does not help.
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
