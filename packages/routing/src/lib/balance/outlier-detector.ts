import type { Clock } from '../admission/index.js';
import type { ServerLoad } from './load-summary.js';

/**
 * What measurement says of a backend server:
 * - `normal`: nothing stands out.
 * - `outlier`: it is much slower or fails much more often than the others; it should lose its shards.
 * - `probation`: it was an outlier and may take work again, gradually.
 */
export type OutlierState = 'normal' | 'outlier' | 'probation';

/** Finds servers that are slow or fail although they report health. */
export interface OutlierDetector {
  /** Takes what all routers measured of the service's servers, merged. */
  update(servers: readonly ServerLoad[]): void;
  /** Verdict on a server; `normal` when it is unknown. */
  stateOf(server: string): OutlierState;
}

/** Requests for each second that a judgement needs at least. */
const MIN_REQUESTS_PER_SECOND = 1;
/** Latency over the median of the others that makes an outlier. */
const SLOW_FACTOR = 4;
/** Latency above the median that is too little to matter, in milliseconds. */
const NEGLIGIBLE_LATENCY_MS = 5;
const MAX_FAILURE_SHARE = 0.5;
/** Load over the mean above which slowness is blamed on the load; the balance planner mends that. */
const HIGH_LOAD_FACTOR = 1.3;
/** Time for which a server must stand out before it becomes an outlier. */
const CONFIRM_MS = 500;
/** Time as an outlier, multiplied by how often it became one lately. */
const BASE_OUTLIER_MS = 30_000;
const MAX_OUTLIER_MS = 600_000;
const PROBATION_MS = 10_000;
/** Largest share of servers that may be outliers; one always may. */
const MAX_OUTLIER_SHARE = 0.25;

/** A server that stands out now, or did. */
interface OutlierCandidate {
  /** Since when it stands out; `Infinity` while it does not. */
  outlyingSince: number;
  outlierUntil: number | undefined;
  timesOutlier: number;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function isOutlying(server: ServerLoad, others: readonly ServerLoad[]): boolean {
  if (server.requests < MIN_REQUESTS_PER_SECOND || others.length === 0) return false;
  const othersFail = median(others.map((it) => it.failures)) >= MAX_FAILURE_SHARE;
  if (server.failures >= MAX_FAILURE_SHARE && !othersFail) return true;
  const medianLatencyMs = median(others.map((it) => it.latencyMs));
  const isSlow = server.latencyMs > medianLatencyMs * SLOW_FACTOR + NEGLIGIBLE_LATENCY_MS;
  const meanLoad = others.reduce((sum, it) => sum + it.load, 0) / others.length;
  return isSlow && server.load <= meanLoad * HIGH_LOAD_FACTOR;
}

/**
 * Creates a detector for the servers of one service. A server becomes an outlier when its measured
 * latency or failures stand out from the median of the others, as in Envoy's outlier detection,
 * unless it merely has more load than they. Outliers return on probation after a time, since
 * nothing measures them while they have no work. At most a quarter of the servers are
 * outliers at once, so that a fault common to all moves nothing. Every router should run one on the
 * merged summaries, so that any router can take over the planning with the same verdicts.
 */
export function createOutlierDetector({ clock }: { readonly clock: Clock }): OutlierDetector {
  const candidates = new Map<string, OutlierCandidate>();

  function stateOf(server: string): OutlierState {
    const until = candidates.get(server)?.outlierUntil;
    if (until === undefined) return 'normal';
    if (clock.now() < until) return 'outlier';
    return clock.now() < until + PROBATION_MS ? 'probation' : 'normal';
  }

  function outlierCount(): number {
    return [...candidates.keys()].filter((it) => stateOf(it) === 'outlier').length;
  }

  function confirm(candidate: OutlierCandidate, serverCount: number): void {
    if (clock.now() - candidate.outlyingSince < CONFIRM_MS) return;
    if (outlierCount() >= Math.max(1, Math.floor(serverCount * MAX_OUTLIER_SHARE))) return;
    candidate.timesOutlier += 1;
    const durationMs = Math.min(MAX_OUTLIER_MS, BASE_OUTLIER_MS * candidate.timesOutlier);
    candidate.outlierUntil = clock.now() + durationMs;
    candidate.outlyingSince = Infinity;
  }

  function evaluate(server: ServerLoad, servers: readonly ServerLoad[]): void {
    if (stateOf(server.id) === 'outlier') return;
    const others = servers.filter((it) => it !== server && it.requests >= MIN_REQUESTS_PER_SECOND);
    const candidate = candidates.get(server.id);
    if (!isOutlying(server, others)) {
      if (candidate?.outlierUntil === undefined) candidates.delete(server.id);
      else candidate.outlyingSince = Infinity;
      return;
    }
    if (!candidate) {
      candidates.set(server.id, {
        outlyingSince: clock.now(),
        outlierUntil: undefined,
        timesOutlier: 0,
      });
      return;
    }
    if (candidate.outlyingSince === Infinity) candidate.outlyingSince = clock.now();
    confirm(candidate, servers.length);
  }

  return {
    update(servers) {
      for (const server of servers) evaluate(server, servers);
    },
    stateOf,
  };
}
