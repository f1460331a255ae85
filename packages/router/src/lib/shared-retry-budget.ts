/** Limits on the retries of all routers together, for each service. */
export interface RetryLimits {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Further retries allowed in one window. */
  readonly slack: number;
  readonly windowMs: number;
}

/** This router's share of the retry budget of one service. */
export interface SharedRetryBudget {
  recordRequest(now: number): void;
  /** Takes a retry from the budget; returns false if none is left. */
  tryRetry(now: number, routers: number): boolean;
}

/**
 * Share of the budget that may be used, so that routers stay within it together although they learn
 * of each other late.
 */
const USABLE_SHARE = 0.7;

/** Removes times before `oldest`. */
function prune(times: number[], oldest: number): void {
  let count = 0;
  while (count < times.length && (times[count] ?? 0) < oldest) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Creates a budget over a sliding window; the limits may change. */
export function createSharedRetryBudget(currentLimits: () => RetryLimits): SharedRetryBudget {
  const requests: number[] = [];
  const retries: number[] = [];
  return {
    recordRequest(now) {
      requests.push(now);
      prune(requests, now - currentLimits().windowMs);
    },
    tryRetry(now, routers) {
      const limits = currentLimits();
      prune(requests, now - limits.windowMs);
      prune(retries, now - limits.windowMs);
      const allowed = requests.length * limits.ratio + limits.slack / Math.max(1, routers);
      if (retries.length + 1 > allowed * USABLE_SHARE) return false;
      retries.push(now);
      return true;
    },
  };
}
