/** Recent requests of one priority for a service. */
interface PriorityDemand {
  /** Exponentially decaying count of requests. */
  weight: number;
  /** The strictest latency objective among the recent ones, in milliseconds. */
  objectiveMs: number;
  /** Sum of the latency objectives, decaying like `weight`, in milliseconds. */
  objectiveSumMs: number;
  /** When `weight` was last updated, in milliseconds of the monotonic clock. */
  at: number;
}

/** Time in which the weight of a request halves, in milliseconds. */
const HALF_LIFE_MS = 5_000;
/** Least share of a service's requests from which a more urgent priority is considered. */
const MIN_URGENT_SHARE = 0.1;

/** Demand for services by priority, as one router sees it. */
export interface ServiceDemand {
  /** Records a request; priority 0 is the most urgent. */
  record(service: string, priority: number, objectiveMs: number): void;
  /**
   * Returns the strictest latency objective of the more urgent priorities that have a notable share
   * of the requests, in milliseconds; `Infinity` without any.
   */
  urgentObjectiveMs(service: string, priority: number): number;
  /** Mean latency objective of recent requests, in milliseconds; `undefined` without any. */
  meanObjectiveMs(service: string): number | undefined;
}

/** Creates an empty record; `now` is in milliseconds of a monotonic clock. */
export function createServiceDemand(now: () => number): ServiceDemand {
  const services = new Map<string, Map<number, PriorityDemand>>();

  const decayOf = ({ at }: PriorityDemand) => 0.5 ** ((now() - at) / HALF_LIFE_MS);
  const weightNow = (demand: PriorityDemand) => demand.weight * decayOf(demand);

  return {
    record(service, priority, objectiveMs) {
      const priorities = services.get(service) ?? new Map<number, PriorityDemand>();
      services.set(service, priorities);
      const known = priorities.get(priority);
      const before = known ? weightNow(known) : 0;
      // The strictest objective is reset once the requests that had it have decayed.
      const strictest =
        before < 1 ? objectiveMs : Math.min(known?.objectiveMs ?? Infinity, objectiveMs);
      const sumBefore = known ? known.objectiveSumMs * decayOf(known) : 0;
      priorities.set(priority, {
        weight: before + 1,
        objectiveMs: strictest,
        objectiveSumMs: sumBefore + objectiveMs,
        at: now(),
      });
    },
    urgentObjectiveMs(service, priority) {
      const priorities = [...(services.get(service) ?? [])];
      const total = priorities.reduce((sum, [, it]) => sum + weightNow(it), 0);
      const urgent = priorities.filter(
        ([other, it]) => other < priority && weightNow(it) >= total * MIN_URGENT_SHARE,
      );
      return Math.min(Infinity, ...urgent.map(([, it]) => it.objectiveMs));
    },
    meanObjectiveMs(service) {
      const demands = [...(services.get(service)?.values() ?? [])];
      const weight = demands.reduce((sum, it) => sum + weightNow(it), 0);
      const sumMs = demands.reduce((sum, it) => sum + it.objectiveSumMs * decayOf(it), 0);
      return weight > 0 ? sumMs / weight : undefined;
    },
  };
}
