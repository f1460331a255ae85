import type { Clock, OutcomeKind } from '../admission/index.js';
import { DecayScale } from './decay-scale.js';
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

/** Measures the load of one service at this router. */
export interface LoadMeter {
  record(sample: RequestSample): void;
  read(): ServiceLoad;
}

/** Options of a {@link LoadMeter}. */
export interface LoadMeterOptions {
  readonly clock: Clock;
  readonly service: string;
}

/** Half-life of the latency and failures of servers; shorter than that of the load of keys. */
const SERVER_HALF_LIFE_MS = 1_000;
/** Bounds of the time that one request represents, which starts at the previous request. */
const MIN_COVERED_MS = 0.01;
const MAX_COVERED_MS = 500;
/** Request rate below which a server is removed. */
const NEGLIGIBLE_REQUESTS_PER_SECOND = 0.001;
/** Weight of one request in the mean latency of its rule. */
const RULE_LATENCY_WEIGHT = 0.02;

/** Decayed sums over the requests to one server. */
interface ServerCounts {
  requests: number;
  workMs: number;
  /** Time that the requests represent. */
  coveredMs: number;
  /** Part of the covered time that failed requests represent, in milliseconds. */
  failedMs: number;
  /** Sum of latencies, each multiplied by its covered time, in milliseconds squared. */
  weightedLatency: number;
  /** Time on the clock of the last request, in milliseconds. */
  lastRequestAt: number;
}

function isFailed(kind: OutcomeKind): boolean {
  return kind !== 'ok' && kind !== 'refused';
}

/**
 * Creates a meter for one service. The work of a request is the mean latency of its rule over all
 * backend servers, not its own latency, because otherwise the shards of a slow or busy server would
 * appear to have a high load. Latency and failures of a server are means over time, not over
 * requests, because a server that becomes slow also answers less often.
 */
export function createLoadMeter({ clock, service }: LoadMeterOptions): LoadMeter {
  const sketch = createHotKeySketch({ clock });
  const ruleLatenciesMs = new Map<string, number>();
  const servers = new Map<string, ServerCounts>();
  const scale = new DecayScale(clock, SERVER_HALF_LIFE_MS, rescale);

  function rescale(factor: number): void {
    for (const counts of servers.values()) {
      counts.requests *= factor;
      counts.workMs *= factor;
      counts.coveredMs *= factor;
      counts.failedMs *= factor;
      counts.weightedLatency *= factor;
    }
  }

  /** Updates the mean latency of a rule, unless the request failed, and returns it. */
  function updateRuleLatency({ rule, latencyMs, kind }: RequestSample): number {
    const knownMs = ruleLatenciesMs.get(rule) ?? latencyMs;
    if (kind !== 'ok') return knownMs;
    const updatedMs = knownMs + (latencyMs - knownMs) * RULE_LATENCY_WEIGHT;
    ruleLatenciesMs.set(rule, updatedMs);
    return updatedMs;
  }

  function countsOf(server: string): ServerCounts {
    const found = servers.get(server);
    if (found) return found;
    const lastRequestAt = clock.now();
    const created = {
      requests: 0,
      workMs: 0,
      coveredMs: 0,
      failedMs: 0,
      weightedLatency: 0,
      lastRequestAt,
    };
    servers.set(server, created);
    return created;
  }

  function countServer({ server, kind, latencyMs }: RequestSample, workMs: number): void {
    const counts = countsOf(server);
    const weight = scale.weight();
    const now = clock.now();
    const passedMs = Math.min(MAX_COVERED_MS, Math.max(MIN_COVERED_MS, now - counts.lastRequestAt));
    const weightedCoveredMs = passedMs * weight;
    counts.requests += weight;
    counts.workMs += workMs * weight;
    counts.coveredMs += weightedCoveredMs;
    counts.failedMs += isFailed(kind) ? weightedCoveredMs : 0;
    counts.weightedLatency += latencyMs * weightedCoveredMs;
    counts.lastRequestAt = now;
  }

  function readServers(): ServerLoad[] {
    const rateFactor = scale.rateFactor();
    for (const [id, { requests }] of servers) {
      if (requests * rateFactor < NEGLIGIBLE_REQUESTS_PER_SECOND) servers.delete(id);
    }
    return [...servers].map(([id, counts]) => ({
      id,
      requests: counts.requests * rateFactor,
      load: counts.workMs * rateFactor,
      latencyMs: counts.weightedLatency / counts.coveredMs,
      failures: counts.failedMs / counts.coveredMs,
    }));
  }

  return {
    record(sample) {
      if (sample.kind === 'refused') return;
      const workMs = updateRuleLatency(sample);
      countServer(sample, workMs);
      sketch.record({ keyHash: sample.keyHash, shard: sample.shard, workMs });
    },
    read: () => ({ service, servers: readServers(), ...sketch.read() }),
  };
}
