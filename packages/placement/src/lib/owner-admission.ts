import type { PlacementLogger } from './leader-context.js';
import { type PublishedShares, createPublishedShares } from './admitted-shares.js';
import { type AdmittedShares, isSignificantChange } from './overload.js';
import { type QueueDelays, type QueueFigures, queueFiguresOf } from './owner-queues.js';
import { type QueueControl, createQueueControl } from './queue-control.js';
import type { RangeTable } from './range-table.js';
import type { ServicePlanner } from './service-planner.js';

/** Shortest time between two log lines about the queues of a service, in milliseconds. */
const QUEUE_LOG_INTERVAL_MS = 2_000;
/** Queueing delay of an owner from which queues are logged, in milliseconds. */
const LONG_QUEUE_MS = 250;

/** Dependencies of {@link createOwnerAdmission}. */
export interface OwnerAdmissionOptions {
  readonly epoch: number;
  readonly planner: Pick<ServicePlanner, 'overloads' | 'takeQueueDelays' | 'withHiddenQueues'>;
  readonly log: PlacementLogger;
  /** Share that a former leader admitted for a server's keys. */
  readonly formerShare: (server: string) => number;
  /** Usual latency objective of a service's requests, in milliseconds; `undefined` if unknown. */
  objectiveMsOf(service: string): number | undefined;
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
  readonly shares: Pick<PublishedShares, 'all' | 'since' | 'change'>;
  /** Queues of the owners at the last update, by service. */
  queues(): ReadonlyMap<string, QueueFigures>;
}

/** Returns the smaller share for each server. */
function smallerOf(some: AdmittedShares, others: AdmittedShares): AdmittedShares {
  const smaller = new Map(some);
  for (const [server, share] of others) smaller.set(server, Math.min(share, some.get(server) ?? 1));
  return smaller;
}

/** Creates the admission of one epoch. */
export function createOwnerAdmission(options: OwnerAdmissionOptions): OwnerAdmission {
  const { epoch, planner, log } = options;
  const queues = new Map<string, QueueFigures>();
  const loggedAt = new Map<string, number>();
  const controls = new Map<string, QueueControl>();
  const shares = createPublishedShares();
  let overloads: AdmittedShares = new Map();

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
      limited: shares.all().size,
      meanDelayMs: Math.round(meanDelayMs),
      longestDelayMs: Math.round(longestDelayMs),
    });
  }

  /** Returns the queueing delays at a service's owners, and notes them. */
  function measureQueues(service: string): QueueDelays {
    const delays = planner.takeQueueDelays(service);
    const figures = queueFiguresOf(delays);
    queues.set(service, figures);
    logQueues(service, figures);
    return delays;
  }

  /** Returns the shares by which the queues of a service's owners are limited. */
  function limitQueues(service: string): AdmittedShares {
    const delays = measureQueues(service);
    const objectiveMs = options.objectiveMsOf(service);
    if (objectiveMs === undefined) return new Map();
    const owners = planner.withHiddenQueues(service, options.routers());
    const control = controls.get(service) ?? createQueueControl(options.formerShare);
    controls.set(service, control);
    return control.step(owners, delays, objectiveMs);
  }

  /** Returns whether a hot key newly overloads an owner, or no longer. */
  function updateOverloads(tables: ReadonlyMap<string, RangeTable>): boolean {
    const found = new Map(
      [...tables].flatMap(([service, table]) => [
        ...planner.overloads(service, table, options.routers()),
      ]),
    );
    if (!isSignificantChange(overloads, found)) return false;
    overloads = found;
    log.info('admitted shares of overloaded owners changed', {
      epoch,
      admitted: Object.fromEntries(found),
    });
    return true;
  }

  return {
    update(tables) {
      const limited = new Map([...tables.keys()].flatMap((it) => [...limitQueues(it)]));
      // Waiting routers learn of an overload at once, and of the limits of queues with the next
      // answer: these change all the time.
      const isUrgent = updateOverloads(tables);
      shares.update(smallerOf(limited, overloads));
      return isUrgent;
    },
    shares,
    queues: () => queues,
  };
}
