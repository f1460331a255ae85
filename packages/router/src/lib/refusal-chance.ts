/** Power of the refused share with which requests that have little time left are refused. */
const LITTLE_TIME_EXPONENT = 4;

/** What decides how likely a request is among those that are refused. */
export interface RefusalInput {
  /** Share of the requests for the owner's keys that is to be refused. */
  readonly refusedShare: number;
  /** Remaining time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly remainingMs: number;
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  /** Whether the service has a notable share of more urgent requests. */
  readonly hasMoreUrgent: boolean;
}

/**
 * Chance that a request is refused. It rises with the refused share for all requests, so that the
 * limit acts whatever they are. Less urgent ones are refused rather than others; those with less
 * time left than the objective, rather not: their callers can't come back.
 */
export function refusalChance(input: RefusalInput): number {
  const { refusedShare, remainingMs, objectiveMs, hasMoreUrgent } = input;
  if (remainingMs < objectiveMs) return refusedShare ** LITTLE_TIME_EXPONENT;
  return hasMoreUrgent ? Math.sqrt(refusedShare) : refusedShare;
}
