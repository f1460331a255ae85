/** What requests of one rank ask of a service. */
interface PriorityDemand {
  /** Recent requests, newer ones counting more. */
  weight: number;
  /** The strictest latency objective among the recent ones, in milliseconds. */
  objectiveMs: number;
  /** When `weight` was brought up to date. */
  at: number;
}

/** Time in which the weight of a request halves, in milliseconds. */
const HALF_LIFE_MS = 5_000;
/** Share of a service's requests from which more urgent ones count. */
const MIN_URGENT_SHARE = 0.1;

/** Which requests ask for a service, by urgency, as one router sees them. */
export interface ServiceDemand {
  /** A request arrives; rank 0 is the most urgent. */
  record(service: string, priority: number, objectiveMs: number): void;
  /** The strictest latency objective of more urgent requests, if there are more than a few; else `Infinity`. */
  urgentObjectiveMs(service: string, priority: number): number;
}

/** Creates an empty record; `now` is in milliseconds of a monotonic clock. */
export function createServiceDemand(now: () => number): ServiceDemand {
  const services = new Map<string, Map<number, PriorityDemand>>();

  function weightNow({ weight, at }: PriorityDemand): number {
    return weight * 0.5 ** ((now() - at) / HALF_LIFE_MS);
  }

  return {
    record(service, priority, objectiveMs) {
      const priorities = services.get(service) ?? new Map<number, PriorityDemand>();
      services.set(service, priorities);
      const known = priorities.get(priority);
      const before = known ? weightNow(known) : 0;
      // An objective is forgotten together with the requests that had it.
      const strictest =
        before < 1 ? objectiveMs : Math.min(known?.objectiveMs ?? Infinity, objectiveMs);
      priorities.set(priority, { weight: before + 1, objectiveMs: strictest, at: now() });
    },
    urgentObjectiveMs(service, priority) {
      const priorities = [...(services.get(service) ?? [])];
      const total = priorities.reduce((sum, [, it]) => sum + weightNow(it), 0);
      const urgent = priorities.filter(
        ([other, it]) => other < priority && weightNow(it) >= total * MIN_URGENT_SHARE,
      );
      return Math.min(Infinity, ...urgent.map(([, it]) => it.objectiveMs));
    },
  };
}
