import type { PlacementBalance, QueueFigures } from '@boragepoint/placement';
import type { CloseReason } from '@boragepoint/platform';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import type { CallerRequest } from './caller-request.js';
import type { CallerAnswer } from './caller-answer.js';
import { HELD_KINDS, type HeldKind } from './client-budget.js';
import type { ConnectionUse } from './server-connections.js';

const LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10];
const MS_PER_S = 1_000;

/** Counters and latencies of one router. */
export interface RouterMetrics {
  recordAnswer(req: CallerRequest, answer: CallerAnswer, latencyMs: number): void;
  /** Records for how long input or an answer waited in the callers' listener. */
  recordWait(what: 'input' | 'answer', waitedMs: number): void;
  /** Records by how much the event loop ran late. */
  recordStall(lateMs: number): void;
  /** Counts a request that is sent to a server while a limit of the server is in force. */
  recordLimitedSend(service: string): void;
  /** Counts an announcement of a server: that it is leaving, or asks for a back-off. */
  recordAnnouncement(service: string, announcement: 'leaving' | 'back-off'): void;
  /** Counts a request that is sent to a cold server whose service has a warm-up rate. */
  recordColdSend(service: string): void;
  /** Counts a call to the leader for permits. */
  recordPermitCall(isAnswered: boolean): void;
  /** Counts a request that is refused because of the limits of servers. */
  recordLimitedRefusal(service: string): void;
  /**
   * Counts a request that was refused because no server was eligible, or diverted because its server
   * was no longer eligible before it was sent.
   */
  recordIneligible(route: string, what: 'refused' | 'diverted'): void;
  /** Counts a request whose handling threw. */
  recordUnexpectedError(): void;
  /** Counts something from the store or another router that can't be used, once. */
  recordUnusableEntry(source: string): void;
  /** Sets the version of the active configuration. */
  setConfigurationVersion(version: number): void;
  /** Sets the digest of the active settings. */
  setSettingsDigest(digest: string): void;
  /** Counts a return of the store from an older copy. */
  recordStoreReturn(): void;
  /** Counts changed settings that are invalid. */
  recordRefusedSettings(): void;
  /** Counts a caller's connection that the router closed. */
  recordClosedConnection(reason: CloseReason): void;
  /** Counts the connections to the servers of a service that were opened, and used again. */
  connectionUse(service: string): ConnectionUse;
  /** Sets the number of servers of a service that this router uses. */
  setSubsetSize(service: string, servers: number): void;
  /** Counts a request for which all servers were considered, as those of the subset could not take it. */
  recordWidenedChoice(service: string): void;
  /** The metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Returns the outcome of a request as metrics and logs name it. */
export function outcomeOf(answer: CallerAnswer): string {
  if (answer.kind === 'none') return 'caller-gone';
  if (answer.kind === 'own') return answer.result;
  return answer.answer.status < 500 ? 'ok' : 'server-error';
}

/**
 * Creates a gauge whose label names what is active and whose value is since when; returns its
 * setter.
 */
function inForceGauge(what: string, label: string, registry: Registry) {
  const gauge = new Gauge({
    name: `boragepoint_${what}_in_force_since_seconds`,
    help: `The ${what} in force, and the time of day since when.`,
    labelNames: [label],
    registers: [registry],
  });
  return (value: string) => {
    gauge.reset();
    gauge.set({ [label]: value }, Date.now() / MS_PER_S);
  };
}

/** Values that are read when the metrics are scraped. */
export interface MetricsSources {
  readonly openRequests: () => number;
  /** Number of server incarnations that requests ended, or may have ended. */
  readonly lostIncarnations: () => number;
  /** Number of availability zones that are being evacuated. */
  readonly evacuatedZones: () => number;
  /** Number of ranges whose owners are in zones that are being evacuated. */
  readonly evacuatedRanges: () => number;
  /** How evenly keys are placed, by service; empty unless this router leads. */
  readonly balance: () => ReadonlyMap<string, PlacementBalance>;
  /** Queues of the owners of keys, by service; empty unless this router leads. */
  readonly queues: () => ReadonlyMap<string, QueueFigures>;
  /** Bytes that the process holds for clients and of responses, by kind. */
  readonly heldBytes: (kind: HeldKind) => number;
}

/** Creates the metrics. */
export function createRouterMetrics({
  openRequests,
  lostIncarnations,
  evacuatedZones,
  evacuatedRanges,
  balance,
  queues,
  heldBytes,
}: MetricsSources): RouterMetrics {
  const registry = new Registry();
  const requests = new Counter({
    name: 'boragepoint_requests_total',
    help: 'Requests by service, route and outcome.',
    labelNames: ['service', 'route', 'outcome'],
    registers: [registry],
  });
  const late = new Counter({
    name: 'boragepoint_requests_late_total',
    help: 'Answered requests over the latency objective.',
    labelNames: ['service'],
    registers: [registry],
  });
  const latency = new Histogram({
    name: 'boragepoint_request_seconds',
    help: 'Time from the head of a request to its answer.',
    labelNames: ['service', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  const waits = new Histogram({
    name: 'boragepoint_listener_wait_seconds',
    help: 'Time for which input waited to be parsed, and answers to be written.',
    labelNames: ['what'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  const byRouteAge = new Counter({
    name: 'boragepoint_requests_by_route_age_total',
    help: 'Requests by outcome, on routes of the first configuration in use and on routes added later.',
    labelNames: ['age', 'outcome'],
    registers: [registry],
  });
  const stalls = new Counter({
    name: 'boragepoint_stall_seconds_total',
    help: 'Time by which the event loop ran late, where it was late by a quarter of a second or more.',
    registers: [registry],
  });
  const limitedSends = new Counter({
    name: 'boragepoint_limited_sends_total',
    help: 'Requests sent to servers while a limit that they named was in force.',
    labelNames: ['service'],
    registers: [registry],
  });
  const coldSends = new Counter({
    name: 'boragepoint_cold_sends_total',
    help: 'Requests sent to cold servers of services with a warm-up rate.',
    labelNames: ['service'],
    registers: [registry],
  });
  const permitCalls = new Counter({
    name: 'boragepoint_permit_calls_total',
    help: 'Calls to the leader for permits, by whether it answered.',
    labelNames: ['answered'],
    registers: [registry],
  });
  const announcements = new Counter({
    name: 'boragepoint_server_announcements_total',
    help: 'Announcements in answers of servers: that they are leaving, or ask for a back-off.',
    labelNames: ['service', 'announcement'],
    registers: [registry],
  });
  const limitedRefusals = new Counter({
    name: 'boragepoint_limited_refusals_total',
    help: 'Requests refused because of limits that servers named, or of warm-up rates.',
    labelNames: ['service'],
    registers: [registry],
  });
  const ineligible = new Counter({
    name: 'boragepoint_ineligible_requests_total',
    help: 'Requests refused without an eligible server, or diverted before they were sent to one.',
    labelNames: ['route', 'what'],
    registers: [registry],
  });
  const unexpected = new Counter({
    name: 'boragepoint_unexpected_errors_total',
    help: 'Errors that nobody foresaw; each has a line in the log.',
    registers: [registry],
  });
  const storeReturns = new Counter({
    name: 'boragepoint_store_returns_total',
    help: 'Returns of the store from an older copy, without its latest writes.',
    registers: [registry],
  });
  const unusable = new Counter({
    name: 'boragepoint_unusable_entries_total',
    help: 'Entries of the store and messages of routers that could not be used, once each.',
    labelNames: ['source'],
    registers: [registry],
  });
  const closedConnections = new Counter({
    name: 'boragepoint_connections_closed_total',
    help: "Callers' connections that the router closed, by reason.",
    labelNames: ['reason'],
    registers: [registry],
  });
  const openedConnections = new Counter({
    name: 'boragepoint_server_connections_opened_total',
    help: 'Connections to servers that were opened.',
    labelNames: ['service'],
    registers: [registry],
  });
  const reusedConnections = new Counter({
    name: 'boragepoint_server_connections_reused_total',
    help: 'Requests that were sent on a connection that was used before.',
    labelNames: ['service'],
    registers: [registry],
  });
  const subsetSize = new Gauge({
    name: 'boragepoint_server_subset_size',
    help: 'Servers that this router uses of a service without keys.',
    labelNames: ['service'],
    registers: [registry],
  });
  const widenedChoices = new Counter({
    name: 'boragepoint_widened_choices_total',
    help: 'Choices among all servers, as those of the subset could not take the request.',
    labelNames: ['service'],
    registers: [registry],
  });
  const configuration = inForceGauge('configuration', 'version', registry);
  const settings = inForceGauge('settings', 'digest', registry);
  const refused = new Counter({
    name: 'boragepoint_settings_refused_total',
    help: 'Changed settings that could not be used.',
    registers: [registry],
  });
  new Gauge({
    name: 'boragepoint_requests_open',
    help: 'Requests without an answer yet.',
    registers: [registry],
    collect() {
      this.set(openRequests());
    },
  });
  new Gauge({
    name: 'boragepoint_suspect_lives',
    help: 'Lives of backend servers that requests ended, or may have ended, as this router knows.',
    registers: [registry],
    collect() {
      this.set(lostIncarnations());
    },
  });
  new Gauge({
    name: 'boragepoint_zones_evacuated',
    help: 'Availability zones that are being evacuated.',
    registers: [registry],
    collect() {
      this.set(evacuatedZones());
    },
  });
  new Gauge({
    name: 'boragepoint_evacuated_ranges',
    help: 'Key ranges whose owners are in availability zones that are being evacuated.',
    registers: [registry],
    collect() {
      this.set(evacuatedRanges());
    },
  });
  new Gauge({
    name: 'boragepoint_held_bytes',
    help: 'Bytes that are held for clients and of responses of backend servers.',
    labelNames: ['kind'],
    registers: [registry],
    collect() {
      for (const kind of HELD_KINDS) this.set({ kind }, heldBytes(kind));
    },
  });
  function registerByService<T>(
    name: string,
    help: string,
    figures: () => ReadonlyMap<string, T>,
    valueOf: (it: T) => number,
  ): void {
    new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [registry],
      collect() {
        this.reset();
        for (const [service, it] of figures()) this.set({ service }, valueOf(it));
      },
    });
  }
  const registerBalance = (name: string, help: string, figure: keyof PlacementBalance) => {
    registerByService(name, help, balance, (it) => it[figure]);
  };
  const registerQueue = (name: string, help: string, delayMsOf: (it: QueueFigures) => number) => {
    registerByService(name, help, queues, (it) => delayMsOf(it) / MS_PER_S);
  };
  registerQueue(
    'boragepoint_owner_queue_mean_seconds',
    'Mean queueing delay at the owners of keys.',
    (it) => it.meanDelayMs,
  );
  registerQueue(
    'boragepoint_owner_queue_longest_seconds',
    'Longest mean queueing delay of an owner of keys.',
    (it) => it.longestDelayMs,
  );
  registerBalance(
    'boragepoint_key_imbalance',
    'Utilization of the busiest server of a partitioned service as a multiple of the mean.',
    'imbalance',
  );
  registerBalance('boragepoint_key_ranges', 'Ranges of a partitioned service.', 'ranges');
  registerBalance(
    'boragepoint_key_ranges_moved',
    'Ranges of a partitioned service that this leader has moved.',
    'rangesMoved',
  );
  registerBalance(
    'boragepoint_keys_moved',
    'Keys of a partitioned service that this leader has moved.',
    'keysMoved',
  );
  return {
    recordAnswer(req, answer, latencyMs) {
      const { service, route } = req;
      const outcome = outcomeOf(answer);
      requests.inc({ service, route: route.cfg.name, outcome });
      latency.observe({ service, outcome }, latencyMs / MS_PER_S);
      byRouteAge.inc({ age: route.addedBy === undefined ? 'first' : 'added', outcome });
      if (outcome === 'ok' && latencyMs > route.cfg.objectiveMs) late.inc({ service });
    },
    recordWait(what, waitedMs) {
      waits.observe({ what }, waitedMs / MS_PER_S);
    },
    recordStall(lateMs) {
      stalls.inc(lateMs / MS_PER_S);
    },
    recordColdSend(service) {
      coldSends.inc({ service });
    },
    recordPermitCall(isAnswered) {
      permitCalls.inc({ answered: String(isAnswered) });
    },
    recordLimitedSend(service) {
      limitedSends.inc({ service });
    },
    recordAnnouncement(service, announcement) {
      announcements.inc({ service, announcement });
    },
    recordLimitedRefusal(service) {
      limitedRefusals.inc({ service });
    },
    recordIneligible(route, what) {
      ineligible.inc({ route, what });
    },
    recordUnexpectedError() {
      unexpected.inc();
    },
    recordUnusableEntry(source) {
      unusable.inc({ source });
    },
    setConfigurationVersion(version) {
      configuration(String(version));
    },
    setSettingsDigest(digest) {
      settings(digest);
    },
    recordStoreReturn() {
      storeReturns.inc();
    },
    recordRefusedSettings() {
      refused.inc();
    },
    recordClosedConnection(reason) {
      closedConnections.inc({ reason });
    },
    connectionUse: (service) => ({
      noteOpened() {
        openedConnections.inc({ service });
      },
      noteReused() {
        reusedConnections.inc({ service });
      },
    }),
    setSubsetSize(service, servers) {
      subsetSize.set({ service }, servers);
    },
    recordWidenedChoice(service) {
      widenedChoices.inc({ service });
    },
    text: () => registry.metrics(),
  };
}
