import type { Clock, OutcomeKind } from '../admission/index.js';
import { DecayScale } from './decayed-counter.js';
import { createHotKeySketch } from './hot-key-sketch.js';
import type { ServerLoad, ServiceLoad } from './load-summary.js';

/** One finished request to a backend server. */
export interface RequestSample {
  /** Rule that the request matched; requests of one rule cost about the same. */
  readonly rule: string;
  /** Hash of the key in hexadecimal. */
  readonly keyHash: string;
  readonly shard: number;
  readonly server: string;
  readonly kind: OutcomeKind;
  readonly latencyMs: number;
}

/** Measures the load of one service as one router sees it. */
export interface LoadMeter {
  record(sample: RequestSample): void;
  read(): ServiceLoad;
}

/** Options of a {@link LoadMeter}. */
export interface LoadMeterOptions {
  readonly clock: Clock;
  readonly service: string;
}

/** Latency and failures of servers are forgotten faster than the load of keys. */
const SERVER_HALF_LIFE_MS = 2_000;
/** Weight of one request in the mean cost of its rule. */
const COST_SMOOTHING = 0.02;

/** Decayed sums over the requests to one server. */
interface ServerCounts {
  requests: number;
  failures: number;
  workMs: number;
  latencyMs: number;
}

function isFailed(kind: OutcomeKind): boolean {
  return kind !== 'ok' && kind !== 'refused';
}

/**
 * Creates a meter for one service. The work of a request is the mean latency of its rule over all
 * backend servers, not its own latency: a slow or busy server would otherwise make its shards look heavy.
 */
export function createLoadMeter({ clock, service }: LoadMeterOptions): LoadMeter {
  const sketch = createHotKeySketch({ clock });
  const costs = new Map<string, number>();
  const servers = new Map<string, ServerCounts>();
  const scale = new DecayScale(clock, SERVER_HALF_LIFE_MS, rescale);

  function rescale(factor: number): void {
    for (const counts of servers.values()) {
      counts.requests *= factor;
      counts.failures *= factor;
      counts.workMs *= factor;
      counts.latencyMs *= factor;
    }
  }

  function costOf({ rule, latencyMs, kind }: RequestSample): number {
    const known = costs.get(rule) ?? latencyMs;
    if (kind !== 'ok') return known;
    const cost = known + (latencyMs - known) * COST_SMOOTHING;
    costs.set(rule, cost);
    return cost;
  }

  function countsOf(server: string): ServerCounts {
    const found = servers.get(server);
    if (found) return found;
    const created = { requests: 0, failures: 0, workMs: 0, latencyMs: 0 };
    servers.set(server, created);
    return created;
  }

  function readServers(): ServerLoad[] {
    const toRate = scale.toRate();
    return [...servers].map(([id, counts]) => ({
      id,
      requests: counts.requests * toRate,
      load: counts.workMs * toRate,
      latencyMs: counts.requests > 0 ? counts.latencyMs / counts.requests : 0,
      failures: counts.requests > 0 ? counts.failures / counts.requests : 0,
    }));
  }

  return {
    record(sample) {
      if (sample.kind === 'refused') return;
      const workMs = costOf(sample);
      const weight = scale.weight();
      const counts = countsOf(sample.server);
      counts.requests += weight;
      counts.failures += isFailed(sample.kind) ? weight : 0;
      counts.workMs += workMs * weight;
      counts.latencyMs += sample.latencyMs * weight;
      sketch.record({ keyHash: sample.keyHash, shard: sample.shard, workMs });
    },
    read: () => ({ service, servers: readServers(), ...sketch.read() }),
  };
}
