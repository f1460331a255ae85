import type { Clock } from '../admission/index.js';
import type { ServerLoad } from './load-summary.js';

/**
 * State of a backend server according to measurements:
 * - `normal`: similar to the others.
 * - `outlier`: much slower or with many more failures than the others; its shards should be moved.
 * - `probation`: it was an outlier and may gradually get work again.
 */
export type OutlierState = 'normal' | 'outlier' | 'probation';

/** Detects servers that are slow or failing although they report themselves healthy. */
export interface OutlierDetector {
  /** Evaluates the merged loads of the service's servers. */
  update(servers: readonly ServerLoad[]): void;
  /** Returns the state of a server; `normal` if it is unknown. */
  stateOf(server: string): OutlierState;
}

/** Minimum request rate for an evaluation. */
const MIN_REQUESTS_PER_SECOND = 1;
/** Factor over the median latency of the others above which a server is slow. */
const SLOW_FACTOR = 4;
/** Difference of latency that is too small to matter, in milliseconds. */
const NEGLIGIBLE_LATENCY_MS = 5;
/** Share of failed requests from which on a server is failing. */
const MAX_FAILURE_SHARE = 0.5;
/** Factor over the mean load above which slowness is left to the balance planner to correct. */
const HIGH_LOAD_FACTOR = 1.3;
/** Time for which a server must differ from the others before it becomes an outlier. */
const CONFIRM_MS = 500;
/** Time as an outlier, multiplied by the number of times that the server has become one. */
const BASE_OUTLIER_MS = 30_000;
const MAX_OUTLIER_MS = 600_000;
/** Time on probation after the time as an outlier. */
const PROBATION_MS = 10_000;
/** Largest share of servers that may be outliers at once; one server always may. */
const MAX_OUTLIER_SHARE = 0.25;

/** A server that differs from the others now, or did before. */
interface OutlierCandidate {
  /** Time since which it differs from the others; `Infinity` while it does not. */
  outlyingSince: number;
  /** End of its last time as an outlier. */
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
 * Creates a detector for the servers of one service. A server becomes an outlier when its latency
 * or failures clearly exceed the median of the others, as in Envoy's outlier detection, unless a
 * slow server merely has more load than the others. An outlier returns on probation after a time,
 * since it can't be measured while it has no work. At most a quarter of the servers are outliers at
 * once, so that a fault common to all does not move shards. Every router should run a detector on
 * the merged summaries, so that any router can take over the planning with the same states.
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
