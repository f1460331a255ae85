/** Least weight of one request in the average of a route; the first ones weigh more. */
const MIN_REQUEST_WEIGHT = 0.05;
/** Largest factor by which a route's service time may differ from the mean of its servers. */
const MAX_RATIO = 8;
/** Number of routes that are kept; the least recently used is dropped. */
const MAX_ROUTES = 500;

/**
 * Time without an answer after which what is known of a route begins to fade, in milliseconds: its
 * requests may be refused because of it, so that nothing else would correct it.
 */
const FADE_AFTER_MS = 10_000;
/** Time without an answer or a probe after which a route may be probed, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;
/** Time in which what is known of a route then fades by half, in milliseconds. */
const FADE_HALF_LIFE_MS = 5_000;

/** Service times of routes, relative to all requests at the same servers. */
export interface RouteTimes {
  /**
   * Records an answer that took `latencyMs`, of which `serviceTimes` service times were expected,
   * at a server with a mean service time of `serviceMs`.
   */
  record(route: string, latencyMs: number, serviceTimes: number, serviceMs: number): void;
  /**
   * Service time of the route at a server with a mean service time of `serviceMs`, in milliseconds.
   */
  routeServiceMs(route: string, serviceMs: number): number;
  /**
   * Returns whether a request may be sent although the service time of its route speaks against it, and
   * notes that it is: while all requests of a route are refused, nothing else corrects what is known.
   */
  takeProbe(route: string): boolean;
}

interface RouteAverage {
  readonly ratio: number;
  /** Number of requests behind the average. */
  readonly requests: number;
  /** Monotonic time in milliseconds. */
  readonly lastAnswerAt: number;
}

/** Returns an average as it counts at a time: with time it approaches that of no measurements. */
function fade(average: RouteAverage, now: number): RouteAverage {
  const idleMs = Math.max(0, now - average.lastAnswerAt - FADE_AFTER_MS);
  const share = 0.5 ** (idleMs / FADE_HALF_LIFE_MS);
  return {
    ...average,
    ratio: 1 + (average.ratio - 1) * share,
    requests: average.requests * share,
  };
}

/**
 * Creates empty averages; a route without measurements has the mean service time of its server.
 * @param now Monotonic time in milliseconds.
 */
export function createRouteTimes(now: () => number): RouteTimes {
  const routes = new Map<string, RouteAverage>();
  /** When routes were last probed, on the monotonic clock. */
  const probedAt = new Map<string, number>();

  function averageOf(route: string): RouteAverage {
    const known = routes.get(route) ?? { ratio: 1, requests: 0, lastAnswerAt: now() };
    return fade(known, now());
  }

  return {
    record(route, latencyMs, serviceTimes, serviceMs) {
      const routeMs = latencyMs - (serviceTimes - 1) * serviceMs;
      const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, routeMs / serviceMs));
      const known = averageOf(route);
      const weight = Math.max(MIN_REQUEST_WEIGHT, 1 / (known.requests + 2));
      routes.delete(route);
      routes.set(route, {
        ratio: known.ratio + (ratio - known.ratio) * weight,
        requests: known.requests + 1,
        lastAnswerAt: now(),
      });
      const [oldest] = routes.keys();
      probedAt.delete(route);
      if (routes.size <= MAX_ROUTES || oldest === undefined) return;
      routes.delete(oldest);
      probedAt.delete(oldest);
    },
    routeServiceMs: (route, serviceMs) => serviceMs * averageOf(route).ratio,
    takeProbe(route) {
      const known = routes.get(route);
      if (!known) return false;
      const lastAt = Math.max(known.lastAnswerAt, probedAt.get(route) ?? -Infinity);
      if (now() < lastAt + PROBE_INTERVAL_MS) return false;
      probedAt.set(route, now());
      return true;
    },
  };
}
