import type { SpeedReport } from '@boragepoint/placement';
import type { ReportedLoad } from '@boragepoint/platform';

/** Service time assumed before any measurement, in milliseconds. */
export const INITIAL_SERVICE_MS = 250;
/** Weight of one report in the moving average of other routers' requests. */
const REPORT_WEIGHT = 0.2;
/** Least weight of one latency in the moving averages; the first ones weigh more. */
const MIN_LATENCY_WEIGHT = 0.1;
/** The typical service time of equal servers weighs as much as this many latencies. */
const TYPICAL_SAMPLES = 2;
/** Largest weight of the measured service time, as a number of latencies. */
const MAX_MEASURED_WEIGHT = 10;
/**
 * Time in which the measured service time of a server without requests loses half of its weight, in
 * milliseconds: an estimate that keeps requests away would never be corrected.
 */
const MEASURED_HALF_LIFE_MS = 10_000;
/** The same for its failure rate. */
const FAILURE_HALF_LIFE_MS = 5_000;
/** Weight of one outcome in the failure rate. */
const OUTCOME_WEIGHT = 0.15;
/** Decay time constant of the last report of other routers' requests, in service times. */
const REPORT_DECAY_SERVICE_TIMES = 2;
/**
 * Decay time constant of the average of other routers' requests without a report, in milliseconds.
 */
const AVERAGE_DECAY_MS = 3_000;

/**
 * One router's estimate of a backend server's load, from its own requests and from the answers'
 * reports.
 */
export interface ServerLoad {
  /** Records that a request is sent. */
  recordSent(now: number): void;
  /**
   * Records the end of a request that was sent at `sentAt`. `failed` is missing if the outcome says
   * nothing about the server.
   */
  recordDone(sentAt: number, failed?: boolean): void;
  /**
   * Records the latency of an answer, or the lower bound of a cancelled one, and the expected time
   * to that answer in service times. `reportedTimes` is the same by the load that the answer reports,
   * if it does, and in view of the server's momentary slowdown: time in a queue that this router did
   * not know of is no slowness of the server.
   */
  recordLatency(serviceTimes: number, latencyMs: number, reportedTimes?: number): void;
  /** Records the load that an answer reports; to be called after the request's `recordDone`. */
  recordReport(now: number, load: ReportedLoad): void;
  /** Age of this router's oldest in-flight request, in milliseconds; 0 without any. */
  oldestInFlightMs(now: number): number;
  /** This router's in-flight requests. */
  ownInFlight(): number;
  /** Estimated in-flight requests of all routers. */
  totalInFlight(now: number): number;
  /** Estimated service time of a request without queueing, in milliseconds. */
  serviceMs(): number;
  /** The same by its own answers alone; `undefined` before the first one. */
  ownServiceMs(): number | undefined;
  slots(): number;
  /**
   * Service time by its own answers, the recent ones above all, in milliseconds; 0 before the first
   * one.
   */
  measuredServiceMs(): number;
  /** Weight of that time, as a number of latencies; less for an idle server. */
  measuredWeight(now: number): number;
  /** Share of recent requests that failed or were shed; less for an idle server. */
  failureRate(now: number): number;
  /** Returns and clears latencies and outcomes, for the report to the placement leader. */
  takeMeasured(): Omit<SpeedReport, 'server'>;
}

const NOTHING_MEASURED = {
  latencyMs: 0,
  units: 0,
  answered: 0,
  failed: 0,
  loadReports: 0,
  queuedPerSlot: 0,
};

/**
 * Creates the estimate of a server without measurements; `typicalServiceMs` returns the present
 * estimate of equal servers.
 */
export function createServerLoad(
  initialSlots: number,
  typicalServiceMs: () => number = () => INITIAL_SERVICE_MS,
): ServerLoad {
  let slots = initialSlots;
  /** When this router's in-flight requests were sent, in order. */
  const sentTimes: number[] = [];
  /**
   * Moving averages of latencies and of the service times expected; their quotient is the service
   * time. They begin at 0, and `typicalWeight` is what the typical service time still weighs.
   */
  const average = { latencyMs: 0, serviceTimes: 0 };
  let typicalWeight = 1;
  let latencyCount = 0;
  /** The same with less of what was before idle times. */
  const recent = { latencyMs: 0, serviceTimes: 1 };
  /** Number of latencies, less for those before idle times. */
  let measuredWeight = 0;
  let failureRate = 0;
  let lastSentAt = -Infinity;
  let averageOthers = 0;
  let reportedOthers = 0;
  let reportedAt = -Infinity;
  let measured = NOTHING_MEASURED;

  const ownServiceMs = () =>
    latencyCount > 0 ? average.latencyMs / average.serviceTimes : undefined;

  /** A few latencies say little: without the others', a new router takes all servers for fast. */
  function serviceMs(): number {
    const latencyMs = average.latencyMs + typicalServiceMs() * typicalWeight;
    return latencyMs / (average.serviceTimes + typicalWeight);
  }

  /** Factor by which what was measured has lost weight since the last request. */
  function idleDecay(now: number, halfLifeMs: number): number {
    return 0.5 ** (Math.max(0, now - lastSentAt) / halfLifeMs);
  }

  function othersInFlight(now: number): number {
    const age = now - reportedAt;
    const trust = Math.exp(-age / (REPORT_DECAY_SERVICE_TIMES * serviceMs()));
    const decayedAverage = averageOthers * Math.exp(-age / AVERAGE_DECAY_MS);
    return decayedAverage + (reportedOthers - decayedAverage) * trust;
  }

  function totalInFlight(now: number): number {
    return sentTimes.length + Math.max(0, othersInFlight(now));
  }

  return {
    recordSent(now) {
      measuredWeight *= idleDecay(now, MEASURED_HALF_LIFE_MS);
      failureRate *= idleDecay(now, FAILURE_HALF_LIFE_MS);
      lastSentAt = now;
      sentTimes.push(now);
    },
    recordDone(sentAt, failed) {
      sentTimes.splice(sentTimes.indexOf(sentAt), 1);
      if (failed === undefined) return;
      failureRate += ((failed ? 1 : 0) - failureRate) * OUTCOME_WEIGHT;
      const { answered, failed: failedBefore } = measured;
      measured = failed
        ? { ...measured, failed: failedBefore + 1 }
        : { ...measured, answered: answered + 1 };
    },
    recordLatency(serviceTimes, latencyMs, reportedTimes = serviceTimes) {
      latencyCount += 1;
      measuredWeight = Math.min(MAX_MEASURED_WEIGHT, measuredWeight + 1);
      const weight = Math.max(MIN_LATENCY_WEIGHT, 1 / (latencyCount + TYPICAL_SAMPLES));
      typicalWeight *= 1 - weight;
      average.latencyMs += (latencyMs - average.latencyMs) * weight;
      average.serviceTimes += (reportedTimes - average.serviceTimes) * weight;
      const recentWeight = Math.min(1, 1 / measuredWeight);
      recent.latencyMs += (latencyMs - recent.latencyMs) * recentWeight;
      recent.serviceTimes += (serviceTimes - recent.serviceTimes) * recentWeight;
      measured = {
        ...measured,
        latencyMs: measured.latencyMs + latencyMs,
        units: measured.units + reportedTimes,
      };
    },
    recordReport(now, load) {
      if (load.slots > 0) slots = load.slots;
      reportedOthers = Math.max(0, load.running + load.waiting - sentTimes.length);
      averageOthers += (reportedOthers - averageOthers) * REPORT_WEIGHT;
      reportedAt = now;
      measured = {
        ...measured,
        loadReports: measured.loadReports + 1,
        queuedPerSlot: measured.queuedPerSlot + load.waiting / Math.max(1, slots),
      };
    },
    oldestInFlightMs: (now) => now - (sentTimes[0] ?? now),
    ownInFlight: () => sentTimes.length,
    totalInFlight,
    serviceMs,
    ownServiceMs,
    slots: () => slots,
    measuredServiceMs: () => recent.latencyMs / recent.serviceTimes,
    measuredWeight: (now) => measuredWeight * idleDecay(now, MEASURED_HALF_LIFE_MS),
    failureRate: (now) => failureRate * idleDecay(now, FAILURE_HALF_LIFE_MS),
    takeMeasured() {
      const taken = measured;
      measured = NOTHING_MEASURED;
      return taken;
    },
  };
}

/** Returns what a load estimate says at a time, in the fields of a server candidate. */
export function loadStateOf(load: ServerLoad, now: number) {
  return {
    inFlight: load.totalInFlight(now),
    slots: load.slots(),
    serviceMs: load.serviceMs(),
    measuredServiceMs: load.measuredServiceMs(),
    measuredWeight: load.measuredWeight(now),
    failureRate: load.failureRate(now),
    oldestInFlightMs: load.oldestInFlightMs(now),
  };
}
