/** What one router measured of a server since its last report. */
export interface SpeedReport {
  readonly server: string;
  /** Mean time of requests that did not queue, in milliseconds; 0 when there were none. */
  readonly serviceMs: number;
  readonly answered: number;
  readonly failed: number;
}

/** Weight of one request in the moving averages. */
const REQUEST_WEIGHT = 0.06;
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
  serviceMs: number | undefined;
  failureShare: number;
}

/** Weight of the mean of some requests, as if each had been averaged in by itself. */
function weightOf(requests: number): number {
  return 1 - (1 - REQUEST_WEIGHT) ** Math.max(1, requests);
}

/** Creates speeds without measurements: all servers count alike until the first reports. */
export function createServerSpeeds(): ServerSpeeds {
  const speeds = new Map<string, Speed>();

  function usualServiceMs(): number {
    const known = [...speeds.values()].flatMap((it) => it.serviceMs ?? []).sort((a, b) => a - b);
    return known[known.length >> 1] ?? INITIAL_SERVICE_MS;
  }

  return {
    record({ server, serviceMs, answered, failed }) {
      const speed = speeds.get(server) ?? { serviceMs: undefined, failureShare: 0 };
      speeds.set(server, speed);
      if (serviceMs > 0) {
        const before = speed.serviceMs ?? serviceMs;
        speed.serviceMs = before + (serviceMs - before) * weightOf(answered);
      }
      const total = answered + failed;
      if (total === 0) return;
      speed.failureShare += (failed / total - speed.failureShare) * weightOf(total);
    },
    capacityOf(server, slots, isCold) {
      const speed = speeds.get(server);
      const perSecond = (slots * 1_000) / (speed?.serviceMs ?? usualServiceMs());
      const isFailing = (speed?.failureShare ?? 0) > MAX_FAILURE_SHARE;
      return perSecond * (isFailing ? FAILING_CAPACITY : 1) * (isCold ? COLD_CAPACITY : 1);
    },
  };
}
