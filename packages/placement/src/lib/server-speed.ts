/** What one router measured of a server since its last report. */
export interface SpeedReport {
  readonly server: string;
  /** Sum of the times of answers, in milliseconds. */
  readonly latencyMs: number;
  /** Sum of what explains them by queues and warm-up, in service times. */
  readonly units: number;
  readonly answered: number;
  readonly failed: number;
}

/** Share of what is known that each new request replaces. */
const REQUEST_WEIGHT = 0.04;
/** What is assumed of a server counts as much as this many service times. */
const ASSUMED_UNITS = 4;
/** Requests that all succeed count as assumed before the first ones. */
const ASSUMED_SUCCESSES = 6;
/** How far a server's time may lie from the usual one, as a factor. */
const MAX_DEVIATION = 3;
const INITIAL_SERVICE_MS = 250;
/** Share of failed requests above which a server's capacity is not believed. */
const MAX_FAILURE_SHARE = 0.3;
const FAILING_CAPACITY_FACTOR = 0.25;
/** A server that warms up runs at about this share of its speed. */
const COLD_CAPACITY_FACTOR = 0.35;

/** Measured speed of servers, merged from the reports of all routers. */
export interface ServerSpeeds {
  record(report: SpeedReport): void;
  /** Requests a second that a server can be expected to run. */
  capacityOf(server: string, slots: number, isCold: boolean): number;
}

/** Fading sums over a server's requests. */
interface Speed {
  latencyMs: number;
  units: number;
  requests: number;
  failed: number;
}

/** Creates speeds without measurements: all servers count alike until the first reports. */
export function createServerSpeeds(): ServerSpeeds {
  const speeds = new Map<string, Speed>();
  /** What servers usually take; `undefined` once something was measured since. */
  let cachedMedianMs: number | undefined;

  /** Time of a request without queueing, drawn towards the usual one while little is known. */
  function serviceMsOf({ latencyMs, units }: Speed, medianMs: number): number {
    return (latencyMs + medianMs * ASSUMED_UNITS) / (units + ASSUMED_UNITS);
  }

  /** The middle of what servers with measured times show. */
  function medianServiceMs(): number {
    const known = [...speeds.values()].filter((it) => it.units > 0);
    const times = known.map((it) => it.latencyMs / it.units).sort((a, b) => a - b);
    return times[times.length >> 1] ?? INITIAL_SERVICE_MS;
  }

  return {
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
    capacityOf(server, slots, isCold) {
      const speed = speeds.get(server);
      const medianMs = (cachedMedianMs ??= medianServiceMs());
      const deviation = speed ? serviceMsOf(speed, medianMs) / medianMs : 1;
      const bounded = Math.min(MAX_DEVIATION, Math.max(1 / MAX_DEVIATION, deviation));
      const perSecond = (slots * 1_000) / (medianMs * bounded);
      const failureShare = speed ? speed.failed / (speed.requests + ASSUMED_SUCCESSES) : 0;
      const isFailing = failureShare > MAX_FAILURE_SHARE;
      return (
        perSecond * (isFailing ? FAILING_CAPACITY_FACTOR : 1) * (isCold ? COLD_CAPACITY_FACTOR : 1)
      );
    },
  };
}
