import type { MetricsSources } from '../lib/router-metrics.js';

/** Sources of the metrics of a router that does nothing. */
export const IDLE_SOURCES: MetricsSources = {
  openRequests: () => 0,
  lostIncarnations: () => 0,
  evacuatedZones: () => 0,
  evacuatedRanges: () => 0,
  balance: () => new Map(),
  queues: () => new Map(),
  heldBytes: () => 0,
};
