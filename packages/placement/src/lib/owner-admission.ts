import type { PlacementLogger } from './leader-context.js';
import { type AdmittedShares, isSignificantChange } from './overload.js';
import { type QueueFigures, queueFiguresOf } from './owner-queues.js';
import type { RangeTable } from './range-table.js';
import type { ServicePlanner } from './service-planner.js';

/** Shortest time between two log lines about the queues of a service, in milliseconds. */
const QUEUE_LOG_INTERVAL_MS = 2_000;
/** Queueing delay of an owner from which queues are logged, in milliseconds. */
const LONG_QUEUE_MS = 250;

/** Dependencies of {@link createOwnerAdmission}. */
export interface OwnerAdmissionOptions {
  readonly epoch: number;
  readonly planner: Pick<ServicePlanner, 'overloads' | 'takeQueueDelays'>;
  readonly log: PlacementLogger;
  /** Number of routers that share the load. */
  routers(): number;
  /** Monotonic time in milliseconds. */
  now(): number;
}

/** Decides which share of the requests for their keys owners get, while a router leads. */
export interface OwnerAdmission {
  /**
   * Adjusts the shares to what was measured since the last call; to be called at regular intervals.
   * Returns whether waiting routers should be notified.
   */
  update(tables: ReadonlyMap<string, RangeTable>): boolean;
  shares(): AdmittedShares;
  /** Queues of the owners at the last update, by service. */
  queues(): ReadonlyMap<string, QueueFigures>;
}

/** Creates the admission of one epoch. */
export function createOwnerAdmission(options: OwnerAdmissionOptions): OwnerAdmission {
  const { epoch, planner, log } = options;
  const queues = new Map<string, QueueFigures>();
  const loggedAt = new Map<string, number>();
  let shares: AdmittedShares = new Map();

  function logQueues(service: string, figures: QueueFigures): void {
    const now = options.now();
    const isDue = now >= (loggedAt.get(service) ?? -Infinity) + QUEUE_LOG_INTERVAL_MS;
    if (!isDue || figures.longestDelayMs < LONG_QUEUE_MS) return;
    loggedAt.set(service, now);
    const { servers, meanDelayMs, longestDelayMs } = figures;
    log.info('queues of owners', {
      epoch,
      service,
      servers,
      meanDelayMs: Math.round(meanDelayMs),
      longestDelayMs: Math.round(longestDelayMs),
    });
  }

  function measureQueues(service: string): void {
    const figures = queueFiguresOf(planner.takeQueueDelays(service));
    queues.set(service, figures);
    logQueues(service, figures);
  }

  return {
    update(tables) {
      for (const service of tables.keys()) measureQueues(service);
      const found = new Map(
        [...tables].flatMap(([service, table]) => [
          ...planner.overloads(service, table, options.routers()),
        ]),
      );
      if (!isSignificantChange(shares, found)) return false;
      shares = found;
      log.info('admitted shares of overloaded owners changed', {
        epoch,
        admitted: Object.fromEntries(found),
      });
      return true;
    },
    shares: () => shares,
    queues: () => queues,
  };
}
