/** Least weight of one request in the average of a route; the first ones weigh more. */
const MIN_REQUEST_WEIGHT = 0.05;
/** Largest factor by which a route's service time may differ from the mean of its servers. */
const MAX_RATIO = 8;
/** Number of routes that are kept; the least recently used is dropped. */
const MAX_ROUTES = 500;

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
}

/** Creates empty averages; a route without measurements has the mean service time of its server. */
export function createRouteTimes(): RouteTimes {
  const routes = new Map<string, { ratio: number; requests: number }>();

  return {
    record(route, latencyMs, serviceTimes, serviceMs) {
      const routeMs = latencyMs - (serviceTimes - 1) * serviceMs;
      const ratio = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, routeMs / serviceMs));
      const known = routes.get(route) ?? { ratio: 1, requests: 0 };
      const weight = Math.max(MIN_REQUEST_WEIGHT, 1 / (known.requests + 2));
      routes.delete(route);
      routes.set(route, {
        ratio: known.ratio + (ratio - known.ratio) * weight,
        requests: known.requests + 1,
      });
      const [oldest] = routes.keys();
      if (routes.size > MAX_ROUTES && oldest !== undefined) routes.delete(oldest);
    },
    routeServiceMs: (route, serviceMs) => serviceMs * (routes.get(route)?.ratio ?? 1),
  };
}
