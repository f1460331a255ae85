/** What one router measured of a server since its last report. */
export interface SpeedReport {
  readonly server: string;
  /** Sum of the response times, in milliseconds. */
  readonly latencyMs: number;
  /**
   * Sum of the expected response times given queues and warm-up, as multiples of the service time.
   */
  readonly units: number;
  readonly answered: number;
  readonly failed: number;
  /** Number of answers that told the server's load. */
  readonly loadReports: number;
  /** Sum of the requests per slot that waited at the server by these answers. */
  readonly queuedPerSlot: number;
}

/** Share of the decaying sums that each new request replaces. */
const REQUEST_WEIGHT = 0.02;
/** Weight of the assumed service time, as a number of measured ones. */
const ASSUMED_UNITS = 4;
/** Number of successful requests assumed before the first one is measured. */
const ASSUMED_SUCCESSES = 6;
/** Largest factor by which a server's service time counts as above or below the median. */
const MAX_DEVIATION = 3;
/** Service time assumed before any measurement, in milliseconds. */
const INITIAL_SERVICE_MS = 250;
/** Share of failed requests above which a server counts as failing. */
const MAX_FAILURE_SHARE = 0.3;
/** Share of its measured capacity at which a failing server counts. */
const FAILING_CAPACITY_FACTOR = 0.25;
/** Approximate share of its capacity that a server has while it warms up. */
const COLD_CAPACITY_FACTOR = 0.35;

/** Measured speeds of servers, merged from the reports of all routers. */
export interface ServerSpeeds {
  record(report: SpeedReport): void;
  /** Returns the requests per second that a server is expected to handle. */
  capacityOf(server: string, slots: number, isCold: boolean): number;
  /** Returns the expected time of a request at a server without queueing, in milliseconds. */
  serviceMsOf(server: string): number;
  /** Relative standard deviation of the capacity. */
  deviationOf(server: string): number;
  /** Forgets the failures of a server that got more requests than it can handle. */
  forgiveFailures(server: string): void;
}

/** Relative standard deviation of one response time, as a multiple of the service time. */
const RESPONSE_DEVIATION = 0.5;

/** Exponentially decaying sums over a server's requests. */
interface Speed {
  latencyMs: number;
  units: number;
  requests: number;
  failed: number;
}

/** Creates speeds without measurements; all servers have equal speed until the first report. */
export function createServerSpeeds(): ServerSpeeds {
  const speeds = new Map<string, Speed>();
  /** Cached result of `medianServiceMs`; `undefined` after each new measurement. */
  let cachedMedianMs: number | undefined;

  /**
   * Estimates the service time without queueing; with few measurements it stays close to the
   * median.
   */
  function serviceMsOf({ latencyMs, units }: Speed, medianMs: number): number {
    return (latencyMs + medianMs * ASSUMED_UNITS) / (units + ASSUMED_UNITS);
  }

  /** Returns the median service time of the servers with measurements, in milliseconds. */
  function medianServiceMs(): number {
    const known = [...speeds.values()].filter((it) => it.units > 0);
    const times = known.map((it) => it.latencyMs / it.units).sort((a, b) => a - b);
    return times[times.length >> 1] ?? INITIAL_SERVICE_MS;
  }

  function boundedServiceMs(server: string): number {
    const speed = speeds.get(server);
    const medianMs = (cachedMedianMs ??= medianServiceMs());
    const deviation = speed ? serviceMsOf(speed, medianMs) / medianMs : 1;
    return medianMs * Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, deviation));
  }

  return {
    deviationOf(server) {
      return RESPONSE_DEVIATION / Math.sqrt((speeds.get(server)?.units ?? 0) + 1);
    },
    forgiveFailures(server) {
      const speed = speeds.get(server);
      if (speed) speed.failed = 0;
    },
    record({ server, latencyMs, units, answered, failed }) {
      const speed = speeds.get(server) ?? { latencyMs: 0, units: 0, requests: 0, failed: 0 };
      speeds.set(server, speed);
      cachedMedianMs = undefined;
      const kept = (1 - REQUEST_WEIGHT) ** (answered + failed);
      speed.latencyMs = speed.latencyMs * kept + latencyMs;
      speed.units = speed.units * kept + units;
      speed.requests = speed.requests * kept + answered + failed;
      speed.failed = speed.failed * kept + failed;
    },
    serviceMsOf: boundedServiceMs,
    capacityOf(server, slots, isCold) {
      const speed = speeds.get(server);
      const perSecond = (slots * 1_000) / boundedServiceMs(server);
      const failureShare = speed ? speed.failed / (speed.requests + ASSUMED_SUCCESSES) : 0;
      const isFailing = failureShare > MAX_FAILURE_SHARE;
      return (
        perSecond * (isFailing ? FAILING_CAPACITY_FACTOR : 1) * (isCold ? COLD_CAPACITY_FACTOR : 1)
      );
    },
  };
}
