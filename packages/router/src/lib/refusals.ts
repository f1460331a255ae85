import { type AdmissionLimitCause, clampRetryAfterMs } from './admission.js';
import { retryAfterBackoffMs } from './server-backoff.js';
import type { PooledServer } from './server-pool.js';

/** `Retry-After` for keys without an owner and services without a server, in milliseconds. */
const NO_SERVER_RETRY_AFTER_MS = 400;
/**
 * `Retry-After` for keys of an overloaded owner, in milliseconds; it is divided by the share of the
 * requests that is admitted.
 */
const OVERLOAD_RETRY_AFTER_MS = 400;
/**
 * Shortest `Retry-After` for requests without an eligible server, and the time over which callers
 * that come back are spread, in milliseconds. Only an operator can change that they have none.
 */
const INELIGIBLE_RETRY_AFTER_MS = 2_000;
const INELIGIBLE_SPREAD_MS = 2_000;

/** Why a request is refused, and the figures behind the decision. */
export interface Refusal {
  readonly kind: 'refuse';
  readonly reason: string;
  readonly retryAfterMs: number;
  /** Result of the refusal, if it is not that servers are overloaded. */
  readonly result?: 'noEligibleServer';
  readonly decidedBy?:
    | {
        readonly server: string;
        readonly expectedMs: number;
        readonly inHand: number;
        /** Service time of the route and that of the server, in milliseconds. */
        readonly routeMs: number;
        readonly serviceMs: number;
        readonly limitMs: number;
        readonly limitedBy: AdmissionLimitCause;
      }
    | { readonly server: string; readonly admittedShare: number }
    | { readonly server: string; readonly pausedForMs: number }
    | { readonly server: string; readonly limitPerS: number };
}

/** Refuses a request that no server can take now. */
export function refuse(reason: string): Refusal {
  return { kind: 'refuse', reason, retryAfterMs: NO_SERVER_RETRY_AFTER_MS };
}

/** Refuses a request beyond the admitted share of an owner, whatever its current queue is. */
export function refuseOverload(server: PooledServer, share: number): Refusal {
  return {
    kind: 'refuse',
    reason: 'the owner is asked for more than it can run',
    retryAfterMs: clampRetryAfterMs(OVERLOAD_RETRY_AFTER_MS / share),
    decidedBy: { server: server.entry.id, admittedShare: Math.round(share * 100) / 100 },
  };
}

/** Refuses a request that no server of its service may receive. `random` is uniform in [0, 1). */
export function refuseIneligible(random: () => number): Refusal {
  return {
    kind: 'refuse',
    result: 'noEligibleServer',
    reason: 'all servers are in evacuated zones or outside the allowed regions',
    retryAfterMs: INELIGIBLE_RETRY_AFTER_MS + random() * INELIGIBLE_SPREAD_MS,
  };
}

/**
 * Refuses a request while all servers ask for back-off; the caller may retry when the first back-off
 * has ended. `now` is in milliseconds of the monotonic clock.
 */
export function refuseBackingOff(
  servers: readonly PooledServer[],
  now: number,
  random: () => number,
): Refusal {
  const [first] = [...servers].sort((a, b) => a.backoffUntil - b.backoffUntil);
  return {
    kind: 'refuse',
    reason: 'servers ask for a pause',
    retryAfterMs: retryAfterBackoffMs(servers, now, random),
    decidedBy: {
      server: first?.entry.id ?? '',
      pausedForMs: Math.round((first?.backoffUntil ?? now) - now),
    },
  };
}
