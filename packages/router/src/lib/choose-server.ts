/** A server that may take the next request. */
export interface ServerCandidate {
  readonly id: string;
  /** Requests that it has in hand, estimated. */
  readonly inFlight: number;
  readonly slots: number;
  /** Time of a request without queueing, in milliseconds, as answers of busy times show it too. */
  readonly serviceMs: number;
  /** Share of requests that failed lately. */
  readonly failureRate: number;
  /** How much sooner it has to answer than a server at hand, as a share of the latency objective. */
  readonly distance: number;
  /** What is left of its warm-up: 1 just after its start, 0 once it is warm. */
  readonly warmUpRemaining: number;
  /** How long the oldest request has been waiting for its answer, in milliseconds. */
  readonly oldestInFlightMs: number;
}

/** Time until an answer can be expected, and the server it would come from. */
export interface ServerChoice {
  readonly id: string;
  readonly expectedMs: number;
}

type QueueState = Omit<ServerCandidate, 'id' | 'failureRate' | 'distance'>;

/** What a request brings to the choice. */
export interface ChoiceOptions {
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** How much longer a request takes at a server that has just started, as a share of its time. */
const WARM_UP_COST = 0.6;
/** A request on its way at a server slows another one down a little even while a slot is free. */
const CONCURRENCY_COST = 0.15;
/** Cost of a failure in latency objectives: the request has to be repeated, if it may be. */
const FAILURE_COST_OBJECTIVES = 3;
/** Spreads the choices of routers that see the same loads. */
const COST_JITTER = 0.12;

/** A request that waits longer than this many times what its queue explains makes a server suspect. */
const OVERDUE_FACTOR = 2.5;

/** Time to the answer of a request that a server gets now, in service times: its queue and its warm-up explain it. */
export function expectedServiceTimes(server: QueueState): number {
  const ahead = Math.max(0, server.inFlight + 1 - server.slots);
  const concurrency = CONCURRENCY_COST * Math.min(1, server.inFlight);
  return (1 + ahead / server.slots + concurrency) * (1 + WARM_UP_COST * server.warmUpRemaining);
}

/** Expected time to the answer of a request that a server gets now, in milliseconds. */
export function expectedMs(server: QueueState): number {
  const queueMs = expectedServiceTimes(server) * server.serviceMs;
  return queueMs + Math.max(0, server.oldestInFlightMs - OVERDUE_FACTOR * queueMs);
}

/** Chooses the server with the least expected cost for a request that any server may take. */
export function chooseServer(
  candidates: readonly ServerCandidate[],
  options: ChoiceOptions,
): ServerChoice | undefined {
  let best: ServerChoice | undefined;
  let bestCost = Infinity;
  for (const server of candidates) {
    const answerMs = expectedMs(server);
    const failureMs = server.failureRate * FAILURE_COST_OBJECTIVES * options.objectiveMs;
    const distanceMs = server.distance * options.objectiveMs;
    const jitter = 1 + COST_JITTER * (options.random() - 0.5);
    const cost = answerMs * jitter + failureMs + distanceMs;
    if (cost < bestCost) {
      best = { id: server.id, expectedMs: answerMs };
      bestCost = cost;
    }
  }
  return best;
}
