/** An event at a simulated time, in milliseconds. */
export interface SimulatedEvent {
  readonly at: number;
  run(): void;
}

/** Queue of simulated events in the order of time. */
export interface EventQueue {
  add(at: number, run: () => void): void;
  /**
   * Removes and returns the next event; events at the same time come in the order in which they
   * were added.
   */
  take(): SimulatedEvent | undefined;
}

/** Creates an empty queue. */
export function createEventQueue(): EventQueue {
  /** Sorted by time, latest first, so that the next event is the last element. */
  const events: SimulatedEvent[] = [];
  return {
    add(at, run) {
      let place = events.length;
      while (place > 0 && (events[place - 1]?.at ?? 0) <= at) place -= 1;
      events.splice(place, 0, { at, run });
    },
    take: () => events.pop(),
  };
}
