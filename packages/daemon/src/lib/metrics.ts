import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

const LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** Metrics of one router. */
export interface Metrics {
  readonly registry: Registry;
  /** Callers' requests by service, rule and result. */
  readonly requests: Counter<'service' | 'rule' | 'result'>;
  /** Time from a caller's request to its answer, in seconds. */
  readonly latency: Histogram<'service' | 'rule'>;
  /** Calls to and from peers by method and direction. */
  readonly peerCalls: Counter<'method' | 'direction'>;
  /** Number of backend servers whose leases this router renews. */
  readonly keptServers: Gauge;
  /** Rows that reads found older than known, or with another history, by kind. */
  readonly regressedRows: Counter<'kind'>;
  /** Records of non-idempotent requests that the table forgot, by what became of them. */
  readonly forgottenRecords: Gauge<'result'>;
}

/** Creates the metrics, including the default metrics of the process. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  collectDefaultMetrics({ register: registry });
  return {
    registry,
    requests: new Counter({
      name: 'boragepoint_requests_total',
      help: "Callers' requests by result",
      labelNames: ['service', 'rule', 'result'],
      registers,
    }),
    latency: new Histogram({
      name: 'boragepoint_request_seconds',
      help: "Time from a caller's request to its answer",
      labelNames: ['service', 'rule'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    }),
    peerCalls: new Counter({
      name: 'boragepoint_peer_calls_total',
      help: 'Calls to and from other routers',
      labelNames: ['method', 'direction'],
      registers,
    }),
    keptServers: new Gauge({
      name: 'boragepoint_backend_servers_kept',
      help: 'Backend servers that this router acts for as the keeper',
      registers,
    }),
    regressedRows: new Counter({
      name: 'boragepoint_table_rows_regressed_total',
      help: 'Rows that reads of the table found older than known, or with another history',
      labelNames: ['kind'],
      registers,
    }),
    forgottenRecords: new Gauge({
      name: 'boragepoint_table_records_forgotten',
      help: 'Records of non-idempotent requests that the table forgot, by result',
      labelNames: ['result'],
      registers,
    }),
  };
}
