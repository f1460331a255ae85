import type { Route } from './route-table.js';
import type { RouterLog } from './router-log.js';

/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

type OutcomeCounts = Record<string, number | undefined>;

/**
 * Counts the outcomes of requests by the version that added their route, as routes that were added
 * may fail while the others are served.
 */
export interface RouteOutcomes {
  record(route: Pick<Route, 'addedBy'>, outcome: string): void;
}

/** Creates empty counts, which are logged from time to time if there were requests on added routes. */
export function createRouteOutcomes(
  log: Pick<RouterLog, 'info'>,
  now: () => number,
): RouteOutcomes {
  let first: OutcomeCounts = {};
  let added: Record<string, OutcomeCounts | undefined> = {};
  let since = now();

  function logAndReset(): void {
    const forMs = Math.round(now() - since);
    if (Object.keys(added).length > 0)
      log.info('answers by version of the route', { forMs, first, added });
    first = {};
    added = {};
    since = now();
  }

  return {
    record({ addedBy }, outcome) {
      const counts = addedBy === undefined ? first : (added[addedBy] ??= {});
      counts[outcome] = (counts[outcome] ?? 0) + 1;
      if (now() >= since + LOG_INTERVAL_MS) logAndReset();
    },
  };
}
