import type { ReportedLoad } from '@boragepoint/platform';

/** A server that may get the next request. */
export interface ServerCandidate {
  readonly id: string;
  /** Estimated in-flight requests of all routers. */
  readonly inFlight: number;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /**
   * Service time of a request without queueing, in milliseconds. The estimate also uses answers to
   * requests that queued, so it is higher for a server that slows down when it is busy.
   */
  readonly serviceMs: number;
  /** The same from its own answers alone, in milliseconds. */
  readonly measuredServiceMs: number;
  /** Weight of that time, as a number of latencies; 0 if none was measured. */
  readonly measuredWeight: number;
  /** Share of recent requests that failed. */
  readonly failureRate: number;
  /**
   * By how much sooner it has to be expected to answer than a server in the own availability zone,
   * as a share of the latency objective.
   */
  readonly distance: number;
  /** Remaining share of its warm-up: 1 just after its start, 0 once it is warm. */
  readonly warmUpRemaining: number;
  /** Age of this router's oldest in-flight request, in milliseconds. */
  readonly oldestInFlightMs: number;
}

type QueueState = Omit<
  ServerCandidate,
  'id' | 'measuredServiceMs' | 'measuredWeight' | 'failureRate' | 'distance'
>;

/** Inputs to the choice besides the candidates. */
export interface ChoiceOptions {
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Extra time of a request at a server that has just started, as a share of its service time. */
const WARM_UP_COST = 0.6;
/**
 * Extra time of a request beside another one, even while a slot is free, as a share of its service
 * time.
 */
const CONCURRENCY_COST = 0.15;
/** Largest expected time to an answer while a slot is free, in service times. */
export const MAX_UNQUEUED_SERVICE_TIMES = 1 + CONCURRENCY_COST;
/**
 * Cost of a failure, in latency objectives: the request has to be retried, where that is allowed.
 */
const FAILURE_COST_OBJECTIVES = 3;
/**
 * Relative jitter of the expected time: it spreads the choices of routers that see the same loads.
 */
const COST_JITTER = 0.12;

/** Weight of the typical service time in the estimate of a server's, as a number of latencies. */
const TYPICAL_WEIGHT = 1;
/** Servers whose service times differ by less than this factor count as equally fast. */
const EQUAL_SPEED_FACTOR = 1.2;

/**
 * Part of a momentary slowdown that a request bears on average: the server slows down for about as
 * long as a request takes, so that the slowdown at its end covers only a part of it.
 */
const SLOWDOWN_EXPONENT = 0.5;

/** An in-flight request older than this multiple of the expected time counts as overdue. */
const OVERDUE_FACTOR = 2.5;

/**
 * Expected time to the answer of a request that is sent now, in service times, from the queue and
 * the warm-up of the server.
 */
export function expectedServiceTimes(
  server: Pick<QueueState, 'inFlight' | 'slots' | 'warmUpRemaining'>,
): number {
  const queuedAhead = Math.max(0, server.inFlight + 1 - server.slots);
  const concurrencyCost = CONCURRENCY_COST * Math.min(1, server.inFlight);
  return (
    (1 + queuedAhead / server.slots + concurrencyCost) * (1 + WARM_UP_COST * server.warmUpRemaining)
  );
}

/**
 * Time that an answer should have taken by the load that it reports, in service times of a server at
 * its usual speed. On average, a request leaves as many others behind as it has found. A router that
 * sends to a server every few seconds knows no better how long its queue was: the time spent in a
 * queue would count as slowness of the server.
 */
export function reportedServiceTimes({ running, waiting, slots, slowdown }: ReportedLoad): number {
  const inFlight = running + waiting;
  const queued = { inFlight, slots: Math.max(1, slots), warmUpRemaining: 0 };
  return expectedServiceTimes(queued) * slowdown ** SLOWDOWN_EXPONENT;
}

/**
 * Expected time to the answer of a request that is sent now, in milliseconds; an overdue request at
 * the server adds to it.
 */
export function expectedMs(server: QueueState): number {
  const queueMs = expectedServiceTimes(server) * server.serviceMs;
  return queueMs + Math.max(0, server.oldestInFlightMs - OVERDUE_FACTOR * queueMs);
}

/**
 * The same for a request whose service time differs from the mean of its server, in milliseconds:
 * only its own work takes longer or shorter, not its time in the queue.
 */
export function expectedAnswerMs(server: QueueState, requestMs: number): number {
  return Math.max(requestMs, expectedMs(server) + requestMs - server.serviceMs);
}

/** Median of the measured service times, in milliseconds; of all estimates if none is measured. */
function typicalServiceMs(servers: readonly ServerCandidate[]): number {
  const measured = servers.filter((it) => it.measuredWeight >= 1);
  const times =
    measured.length > 0
      ? measured.map((it) => it.measuredServiceMs)
      : servers.map((it) => it.serviceMs);
  return times.sort((a, b) => a - b)[times.length >> 1] ?? 0;
}

/**
 * Estimates a server's service time from its measurements and the typical one of its equals. A few
 * measurements, or old ones, say little, and small differences are chance: without this, all
 * requests of a router would go to the server that happened to answer fastest.
 */
function believedServiceMs(server: ServerCandidate, typicalMs: number): number {
  if (server.measuredWeight === 0) return typicalMs;
  const trust = server.measuredWeight / (server.measuredWeight + TYPICAL_WEIGHT);
  const factor = (server.measuredServiceMs / typicalMs) ** trust;
  const isEqual = factor < EQUAL_SPEED_FACTOR && factor > 1 / EQUAL_SPEED_FACTOR;
  return isEqual ? typicalMs : typicalMs * factor;
}

/**
 * Chooses the server with the lowest expected cost, for a request that any server may run. The
 * result has the service time that is believed of it in view of the others.
 */
export function chooseServer(
  candidates: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerCandidate | undefined {
  let best: ServerCandidate | undefined;
  let bestCost = Infinity;
  const typicalMs = typicalServiceMs(candidates);
  for (const candidate of candidates) {
    const server = { ...candidate, serviceMs: believedServiceMs(candidate, typicalMs) };
    const failureMs = server.failureRate * FAILURE_COST_OBJECTIVES * options.objectiveMs;
    const distanceMs = server.distance * options.objectiveMs;
    const jitter = 1 + COST_JITTER * (options.random() - 0.5);
    const cost = expectedMs(server) * jitter + failureMs + distanceMs;
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  return best;
}
