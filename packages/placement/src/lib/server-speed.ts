/** What one router knows of a server, and how its requests ended since the last report. */
export interface SpeedReport {
  readonly server: string;
  /** Time of a request without queueing, in milliseconds; 0 if it is not known. */
  readonly serviceMs: number;
  readonly answered: number;
  readonly failed: number;
}

/** Least weight of one request in the moving averages. */
const REQUEST_WEIGHT = 0.06;
/** What is assumed of a server counts as much as this many requests. */
const ASSUMED_REQUESTS = 6;
/** How far a server's time may lie from the usual one, as a factor. */
const MAX_DEVIATION = 3;
const INITIAL_SERVICE_MS = 250;
/** Share of failed requests above which a server's capacity is not believed. */
const MAX_FAILURE_SHARE = 0.3;
const FAILING_CAPACITY = 0.25;
/** A server that warms up runs at about this share of its speed. */
const COLD_CAPACITY = 0.35;

/** Measured speed of servers, merged from the reports of all routers. */
export interface ServerSpeeds {
  record(report: SpeedReport): void;
  /** Requests a second that a server can be expected to run. */
  capacityOf(server: string, slots: number, isCold: boolean): number;
}

interface Speed {
  serviceMs: number;
  failureShare: number;
  requests: number;
}

/** Weight of the mean of some requests after `known` others, as if each had been averaged in by itself. */
function weightOf(requests: number, known: number): number {
  const total = known + ASSUMED_REQUESTS;
  return Math.max(requests / (total + requests), 1 - (1 - REQUEST_WEIGHT) ** requests);
}

/** Creates speeds without measurements: all servers count alike until the first reports. */
export function createServerSpeeds(): ServerSpeeds {
  const speeds = new Map<string, Speed>();

  function usualServiceMs(): number {
    const known = [...speeds.values()].map((it) => it.serviceMs).sort((a, b) => a - b);
    return known[known.length >> 1] ?? INITIAL_SERVICE_MS;
  }

  return {
    record({ server, serviceMs, answered, failed }) {
      const total = answered + failed;
      if (total === 0) return;
      const speed = speeds.get(server) ?? {
        serviceMs: usualServiceMs(),
        failureShare: 0,
        requests: 0,
      };
      speeds.set(server, speed);
      if (serviceMs > 0) {
        speed.serviceMs += (serviceMs - speed.serviceMs) * weightOf(answered, speed.requests);
      }
      speed.failureShare += (failed / total - speed.failureShare) * weightOf(total, speed.requests);
      speed.requests += total;
    },
    capacityOf(server, slots, isCold) {
      const speed = speeds.get(server);
      const usualMs = usualServiceMs();
      const deviation = (speed?.serviceMs ?? usualMs) / usualMs;
      const bounded = Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, deviation));
      const perSecond = (slots * 1_000) / (usualMs * bounded);
      const isFailing = (speed?.failureShare ?? 0) > MAX_FAILURE_SHARE;
      return perSecond * (isFailing ? FAILING_CAPACITY : 1) * (isCold ? COLD_CAPACITY : 1);
    },
  };
}
