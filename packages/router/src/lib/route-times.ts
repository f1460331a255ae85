/** Weight of one request in what is known of a route; the first ones weigh more. */
const MIN_REQUEST_WEIGHT = 0.05;
/** How far the time of a route may lie from that of its server's requests in all, as a factor. */
const MAX_RATIO = 8;
/** Routes that are remembered; the oldest make way. */
const MAX_ROUTES = 500;

/** How long requests of a route run, compared with all requests of the same servers. */
export interface RouteTimes {
  /**
   * An answer took `latencyMs` at a server where a request takes `serviceMs` in the mean, and where the queue explains
   * `units` of them.
   */
  record(route: string, latencyMs: number, serviceTimes: number, serviceMs: number): void;
  /** Time of a request of the route at a server with a mean time, in milliseconds. */
  routeServiceMs(route: string, serviceMs: number): number;
}

/** Creates times without measurements: all routes count alike. */
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
