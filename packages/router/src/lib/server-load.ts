import type { SpeedReport } from '@boragepoint/placement';
import type { ReportedLoad } from '@boragepoint/platform';

/** Weight of one report of others' requests in a moving average. */
const REPORT_WEIGHT = 0.2;
/** Least weight of one measured time; the first ones weigh more. */
const MIN_LATENCY_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 250;
/** The initial time counts as much as this many measured ones. */
const INITIAL_SAMPLES = 2;
/** Weight of one outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;
/** What other routers keep at the server is believed less the older the report is, in service times. */
const REPORT_DECAY_SERVICE_TIMES = 2;
/** What others usually keep there is forgotten over this time without a report, in milliseconds. */
const AVERAGE_DECAY_MS = 3_000;

/** What one router knows of a backend server's load, from its own requests and from answers. */
export interface ServerLoad {
  /** A request is sent. */
  recordSent(now: number): void;
  /** A request that was sent at `sentAt` is over; `failed` is missing when its outcome says nothing about the server. */
  recordDone(sentAt: number, failed?: boolean): void;
  /** An answer took `latencyMs`, or longer if it was not waited for, where its queue explains `units` service times. */
  recordLatency(serviceTimes: number, latencyMs: number): void;
  /** Takes what an answer says of the load. For after `done`. */
  recordReport(now: number, load: ReportedLoad): void;
  /** How long the oldest own request has been on its way, in milliseconds; 0 without any. */
  oldestInFlightMs(now: number): number;
  /** Own requests on their way. */
  ownInFlight(): number;
  /** Requests that the server is thought to have in hand, of all routers. */
  totalInFlight(now: number): number;
  /** Time that a request takes without queueing, in milliseconds. */
  serviceMs(): number;
  /** Whether that time was measured at this server. */
  isMeasured(): boolean;
  slots(): number;
  /** Share of requests that failed or were shed, lately. */
  failureRate(): number;
  /** Times and outcomes since the last call, for the report to the placement leader. */
  takeMeasured(): Omit<SpeedReport, 'server'>;
}

const NOTHING_MEASURED = { latencyMs: 0, units: 0, answered: 0, failed: 0 };

/** Creates the load of a server of which nothing is known but its slots, and the time that equal servers take. */
export function createServerLoad(
  initialSlots: number,
  initialServiceMs: number = INITIAL_SERVICE_MS,
): ServerLoad {
  let slots = initialSlots;
  /** When the own requests on their way were sent, in order. */
  const sentTimes: number[] = [];
  /** Moving averages of times and of what explains them; their quotient is the service time. */
  const average = { latencyMs: initialServiceMs, serviceTimes: 1 };
  let latencyCount = 0;
  let failureRate = 0;
  let averageOthers = 0;
  let reportedOthers = 0;
  let reportedAt = -Infinity;
  let measured = NOTHING_MEASURED;

  const serviceMs = () => average.latencyMs / average.serviceTimes;

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
    recordLatency(serviceTimes, latencyMs) {
      latencyCount += 1;
      const weight = Math.max(MIN_LATENCY_WEIGHT, 1 / (latencyCount + INITIAL_SAMPLES));
      average.latencyMs += (latencyMs - average.latencyMs) * weight;
      average.serviceTimes += (serviceTimes - average.serviceTimes) * weight;
      measured = {
        ...measured,
        latencyMs: measured.latencyMs + latencyMs,
        units: measured.units + serviceTimes,
      };
    },
    recordReport(now, load) {
      if (load.slots > 0) slots = load.slots;
      reportedOthers = Math.max(0, load.running + load.waiting - sentTimes.length);
      averageOthers += (reportedOthers - averageOthers) * REPORT_WEIGHT;
      reportedAt = now;
    },
    oldestInFlightMs: (now) => now - (sentTimes[0] ?? now),
    ownInFlight: () => sentTimes.length,
    totalInFlight,
    serviceMs,
    isMeasured: () => latencyCount > 0,
    slots: () => slots,
    failureRate: () => failureRate,
    takeMeasured() {
      const taken = measured;
      measured = NOTHING_MEASURED;
      return taken;
    },
  };
}
