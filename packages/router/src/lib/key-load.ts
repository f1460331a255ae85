import type { ServiceLoadReport } from '@boragepoint/placement';

import type { ServerPool } from './server-pool.js';

/** Requests and latencies of partitioned services since the last report. */
export interface KeyLoad {
  /** Records a request for a key. */
  record(service: string, key: number): void;
  /** Returns and clears what was recorded for these services and measured at their servers. */
  take(services: readonly string[]): ServiceLoadReport[];
}

/** Creates an empty record. */
export function createKeyLoad(pool: () => ServerPool): KeyLoad {
  let keys = new Map<string, number[]>();

  /** Latencies, outcomes and queues of those servers of a service that have any. */
  function takeMeasured(service: string) {
    return pool()
      .ofService(service)
      .map(({ entry, load }) => ({ server: entry.id, ...load.takeMeasured() }))
      .filter((it) => it.units + it.failed + it.loadReports > 0);
  }

  return {
    record(service, key) {
      const list = keys.get(service) ?? [];
      list.push(key);
      keys.set(service, list);
    },
    take(services) {
      const taken = keys;
      keys = new Map();
      return services.map((service) => ({
        service,
        keys: taken.get(service) ?? [],
        servers: takeMeasured(service),
      }));
    },
  };
}
