import type { IncarnationId, ServerDirectory } from './server-directory.js';
import type { ServerLimits } from './server-limits.js';

/** Rate of requests that an incarnation of a backend server takes from all routers together. */
export interface ServerRate {
  /** Start of the incarnation; see `ServerEntry.startedMs`. */
  readonly startedMs: number;
  /** Requests per second. */
  readonly perS: number;
  /** True if the server is cold and its service has a warm-up rate. */
  readonly isCold: boolean;
  /** True if the server itself names the rate. */
  readonly isNamed: boolean;
}

/** Rate limits of backend servers from all sources. */
export interface ServerRates {
  /** Returns the rate limit of a server; `undefined` without one. */
  rateOf(server: string): ServerRate | undefined;
  /** Returns the limit of an incarnation, in requests per second; `undefined` without one. */
  limitOf(incarnation: IncarnationId): number | undefined;
  /** Returns whether an incarnation is cold and its service has a warm-up rate. */
  isCold(incarnation: IncarnationId): boolean;
}

/** Options of {@link createServerRates}. */
export interface ServerRatesOptions {
  /** Limits that servers name in their answers. */
  readonly limits: Pick<ServerLimits, 'noticeOf'>;
  readonly directory: Pick<ServerDirectory, 'get'>;
  /**
   * Returns the requests per second that a cold server of a service takes; `undefined` if it takes
   * any rate.
   */
  warmUpPerS(service: string): number | undefined;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/**
 * Creates the rates as one router knows them. Each router derives the warm-up rate from the service
 * registry, so that it needs no messages.
 */
export function createServerRates(options: ServerRatesOptions): ServerRates {
  /** Returns the limit that a server names in its answers. */
  function namedRateOf(server: string): ServerRate | undefined {
    const notice = options.limits.noticeOf(server);
    if (notice?.perS === undefined) return undefined;
    return { startedMs: notice.startedMs, perS: notice.perS, isCold: false, isNamed: true };
  }

  function coldRateOf(server: string): ServerRate | undefined {
    const known = options.directory.get(server);
    if (!known || options.now() >= known.cold.until) return undefined;
    const perS = options.warmUpPerS(known.entry.service);
    return perS === undefined
      ? undefined
      : { startedMs: known.entry.startedMs, perS, isCold: true, isNamed: false };
  }

  function rateOf(server: string): ServerRate | undefined {
    const named = namedRateOf(server);
    const cold = coldRateOf(server);
    if (!named || !cold) return named ?? cold;
    if (named.startedMs !== cold.startedMs) return named.startedMs > cold.startedMs ? named : cold;
    return named.perS <= cold.perS ? { ...named, isCold: true } : cold;
  }

  /** Returns the rate of a server if it is that of the incarnation. */
  function rateOfIncarnation({ server, startedMs }: IncarnationId): ServerRate | undefined {
    const rate = rateOf(server);
    return rate?.startedMs === startedMs ? rate : undefined;
  }

  return {
    rateOf,
    limitOf: (incarnation) => rateOfIncarnation(incarnation)?.perS,
    isCold: (incarnation) => rateOfIncarnation(incarnation)?.isCold ?? false,
  };
}
