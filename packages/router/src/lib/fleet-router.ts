import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { type FleetSettings, type IpEndpoint, parseIpEndpoint } from '@boragepoint/config';
import {
  createPlacementMember,
  createPlacementPeers,
  createServerDirectory,
  createServerLimits,
  createServerRates,
  createSuspectRecord,
  processClocks,
} from '@boragepoint/placement';
import { type FleetPlatform, type RowSource, createUnusableEntries } from '@boragepoint/platform';

import { type CallerListenerContext, createCallerListener } from './caller-listener.js';
import { createActiveConfig, watchOutageFields } from './active-config.js';
import { checkAllowedRegions, checkSharedRegions } from './allowed-regions.js';
import { createCrashGuard } from './crash-guard.js';
import { errorFields } from './describe-error.js';
import { countEvacuatedRanges } from './evacuated-ranges.js';
import { createEvacuations } from './evacuations.js';
import { createAnswerMemory } from './answer-memory.js';
import { budgetBytes, createClientBudget } from './client-budget.js';
import { processMemoryMb } from './process-memory.js';
import { closeServer, serveMetrics, serveReadiness } from './http-endpoints.js';
import { logClosedConnection } from './log-closed-connection.js';
import { logListenerWait } from './log-listener-wait.js';
import { paceGarbage } from './garbage-pace.js';
import { createKeyLoad } from './key-load.js';
import { createKeyOwnerRule } from './key-owner-zones.js';
import { createPeerListener } from './peer-listener.js';
import { createRequestHandler } from './request-handler.js';
import { createRouteTimes } from './route-times.js';
import type { RouterLog } from './router-log.js';
import { createRouteOutcomes } from './route-outcomes.js';
import { createRouterMetrics, outcomeOf } from './router-metrics.js';
import { createServerPool } from './server-pool.js';
import { cancelUnsent } from './server-backoff.js';
import { createServerEligibility } from './server-eligibility.js';
import { createServerPermits } from './server-permits.js';
import { createServerProbe } from './server-probe.js';
import { type SharedRetryBudget, createSharedRetryBudget } from './shared-retry-budget.js';
import { createServiceDemand } from './service-demand.js';
import { settingsDigest } from './settings-digest.js';
import { watchStalls } from './stall-watch.js';
import { type StartLog, createStartLog, watchStart } from './start-log.js';
import { createSubsetChoice } from './subset-choice.js';
import { superviseTask } from './supervise-task.js';

/** Time after the router reports not ready in which callers may still connect, in milliseconds. */
const CLOSE_ANNOUNCEMENT_MS = 2_600;
/** Part of the grace period in which no request is worked on any more, in milliseconds. */
const GRACE_MARGIN_MS = 400;
/** Part of the grace period that stays unused, in milliseconds. */
const EXIT_MARGIN_MS = 100;
/** Time after which a router logs that it waits for an address, in milliseconds. */
const SLOW_LISTEN_MS = 500;
/** Time at the end of the grace period for writing answers that are ready, in milliseconds. */
const LAST_ANSWERS_MS = 150;

/** A running router. */
export interface FleetRouter {
  /** Applies changed settings, except the addresses of the listeners and the store. */
  reload(next: FleetSettings): void;
  /** Logs and counts changed settings that are invalid; the current ones stay. */
  reportInvalidSettings(reason: string): void;
  /** Logs and counts an error that no task took. */
  noteUnexpectedError(err: unknown, origin: string): void;
  /** Stops gracefully: reports not ready at once, and lets requests in progress finish. */
  shutDown(): Promise<void>;
}

/** Parses an address to listen at, which the settings' schema has checked. */
function endpointOf(address: string): IpEndpoint {
  const endpoint = parseIpEndpoint(address);
  if (!endpoint) throw new RangeError(`'${address}' is not an IP address with a port`);
  return endpoint;
}

/**
 * Starts a router on a platform. Rejects with the system's error, and leaves nothing open, if one of
 * its addresses can't be listened at.
 */
export async function createFleetRouter(
  initial: FleetSettings,
  platform: FleetPlatform,
  log: RouterLog,
  start: StartLog = createStartLog(() => log),
): Promise<FleetRouter> {
  const clocks = processClocks;
  const stop = new AbortController();
  const handOver = new AbortController();
  let settings = initial;
  const { instance } = settings;
  let stopping = false;
  let stopsAt = Infinity;
  const budgets = new Map<string, SharedRetryBudget>();

  const unusable = createUnusableEntries({
    now: clocks.monotonic,
    count(source) {
      metrics.recordUnusableEntry(source);
    },
    tell(entry) {
      log.warn('unusable entry', { ...entry });
    },
  });
  platform.store.onUnusable?.(unusable.note);
  const peers = createPlacementPeers(unusable.note);
  /** Reads rows from a peer while the store does not answer. */
  const fallback: RowSource = {
    async rowsSince(table, version) {
      const peer = member.anyPeer();
      const delta = peer === undefined ? undefined : await peers.rowsSince(peer, table, version);
      if (delta) {
        log.info('rows read from a peer', {
          peer,
          table,
          version: delta.version,
          from: version,
        });
      }
      return delta;
    },
  };
  const directory = createServerDirectory({
    platform,
    clocks,
    fallback,
    drainNoticeMs: () => settings.drain.noticeMs,
    isRelayed: () => member.isLeading(),
    onGivenUp: (err) => {
      log.info('service registry poll given up', { reason: err.message });
    },
    onLost: (err) => {
      log.warn('service registry watch lost', { reason: err.message });
      member.noteStoreChange();
    },
    onRecovered: (outage) => {
      log.info('service registry watch regained', watchOutageFields(outage));
      member.noteStoreChange();
    },
    onReturn: (difference) => {
      log.info('service registry of the returned store read', { ...difference });
      member.noteStoreChange();
    },
    onUnusable: unusable.note,
  });
  const suspects = createSuspectRecord(clocks.monotonic);
  const limits = createServerLimits(clocks.monotonic);
  const metrics = createRouterMetrics({
    openRequests: () => listener.openRequests(),
    lostIncarnations: () => suspects.countSuspectIncarnations(),
    evacuatedZones: () => [...evacuations.zones()].filter(isKnownZone).length,
    evacuatedRanges: () => countEvacuatedRanges(member.view(), directory, eligibility),
    balance: () => member.balance(),
    queues: () => member.queues(),
    heldBytes: (kind) => clientBudget.held(kind),
  });
  metrics.setSettingsDigest(settingsDigest(settings));
  const isKnownZone = (zone: string) => Object.hasOwn(settings.regions, zone);
  const evacuations = createEvacuations({
    table: platform.configTable,
    isKnownZone,
    log,
    onUnusable: unusable.note,
    onChange(begun) {
      for (const server of pool.all()) {
        if (begun.includes(server.entry.availabilityZone)) cancelUnsent(server);
      }
    },
    now: clocks.monotonic,
  });
  const eligibility = createServerEligibility({
    regionOf: (zone) => (isKnownZone(zone) ? settings.regions[zone] : undefined),
    evacuatedZones: () => evacuations.zones(),
    allowedRegionsOf: (route) => config.table()?.routeNamed(route)?.cfg.allowedRegions,
  });
  const config = createActiveConfig({
    platform,
    evacuations,
    fallback,
    log,
    onUnusable: unusable.note,
    onChange({ cfg }) {
      metrics.setConfigurationVersion(cfg.version);
      const problems = [...checkAllowedRegions(cfg, settings.regions), ...checkSharedRegions(cfg)];
      for (const problem of problems) unusable.note({ source: platform.configTable, ...problem });
      listener.applyLimits(cfg.limits);
    },
  });
  platform.store.onEra(({ era, previous, call }) => {
    if (previous === undefined) {
      log.info('era of the store', { era, call });
      return;
    }
    metrics.recordStoreReturn();
    log.warn('store came back from an older copy', { era, previous, call });
  });
  const serviceOf = (service: string) => config.table()?.service(service);
  const isPartitioned = (service: string) => serviceOf(service)?.partitioned ?? false;
  const partitionedServices = () =>
    config
      .table()
      ?.cfg.services.filter((it) => it.partitioned)
      .map((it) => it.name);
  const demand = createServiceDemand(clocks.monotonic);
  const rates = createServerRates({
    limits,
    directory,
    warmUpPerS: (service) => serviceOf(service)?.warmUp?.perS,
    now: clocks.monotonic,
  });
  const keyLoad = createKeyLoad(() => pool);
  const probe = createServerProbe();
  const { instanceMb = processMemoryMb() } = settings.memory;
  const garbage = paceGarbage(instanceMb);
  const clientBudget = createClientBudget(budgetBytes(instanceMb), garbage.clients);

  const member = createPlacementMember({
    place: `${instance.region}/${instance.availabilityZone}`,
    self: { router: instance.id, address: settings.listen.peers, startedMs: clocks.timeOfDay() },
    capacity: settings.processor.capacity,
    store: platform.store,
    orders: platform.orders,
    probeServer: (address) => probe.check(address),
    directory,
    peers,
    clocks,
    log,
    partitionedServices,
    objectiveMsOf: (service) => demand.meanObjectiveMs(service),
    mayOwnKeys: createKeyOwnerRule({
      config: () => config.table()?.cfg,
      eligibility,
      directory,
    }),
    takeLoad: () => keyLoad.take(partitionedServices() ?? []),
    suspects,
    limits,
    rates,
    onLimitsLearned(changed) {
      for (const { server, startedMs, perS } of changed) {
        const pooled = perS === undefined ? undefined : pool.get(server);
        if (pooled?.entry.startedMs === startedMs) cancelUnsent(pooled);
      }
    },
    tables: () => [
      { table: platform.configTable, ...config.watch.tableReport() },
      { table: platform.serverTable, ...directory.tableReport() },
    ],
    onUnusable: unusable.note,
    onTableReports(tables) {
      for (const { table, ...advice } of tables) {
        if (table === platform.configTable) config.watch.applyReport(advice);
        if (table === platform.serverTable) directory.applyReport(advice);
      }
    },
  });
  const answerMemory = createAnswerMemory({ budget: clientBudget, pace: garbage.responses });
  const pool = createServerPool({
    directory,
    answerMemory,
    maxConnections: (service) => serviceOf(service)?.maxConnections ?? 1,
    routers: () => member.routers(),
    hasWarmUpRate: (service) => serviceOf(service)?.warmUp !== undefined,
    connectionUse: (service) => metrics.connectionUse(service),
    drainNoticeMs: () => settings.drain.noticeMs,
    now: clocks.monotonic,
  });
  const guard = createCrashGuard({
    record: suspects,
    directory,
    probe,
    log,
    heartbeatMs: () => settings.registry.heartbeatMs,
    shareSuspects: () => member.shareSuspects(),
    now: clocks.monotonic,
  });
  directory.onChange((isNews) => {
    pool.refresh();
    guard.applyRegistryChanges();
    limits.prune(directory);
    if (isNews) member.noteStoreChange();
  });

  const handler = createRequestHandler({
    pool,
    eligibility,
    codec: platform.headers,
    answerMemory,
    log,
    view: () => member.view(),
    admittedShare: (server) => member.admittedShare(server),
    waitForPlacement: (ms) => member.waitForChange(ms),
    ownersUnknownForMs: () => member.unknownForMs(),
    routers: () => member.routers(),
    distanceTo(zone) {
      if (zone === instance.availabilityZone) return 0;
      const { distance, regions } = settings;
      return regions[zone] === instance.region ? distance.zone : distance.region;
    },
    drainNoticeMs: () => settings.drain.noticeMs,
    drainingSince(id) {
      const known = directory.get(id);
      return known?.entry.draining === true ? known.stateSince : undefined;
    },
    isPartitioned,
    budgetOf(service) {
      const budget = budgets.get(service) ?? createSharedRetryBudget(() => settings.retries);
      budgets.set(service, budget);
      return budget;
    },
    guard,
    limits,
    shareLimits() {
      member.shareLimits();
    },
    permits: createServerPermits({
      rates,
      request: (wanted, areCallersWaiting) => member.requestPermits(wanted, areCallersWaiting),
      onCall: (isAnswered) => {
        metrics.recordPermitCall(isAnswered);
      },
      routers: () => member.routers(),
      now: clocks.monotonic,
      random: Math.random,
    }),
    metrics,
    noteLeaving: (incarnation) => directory.noteLeaving(incarnation),
    recordKey: (service, key) => {
      keyLoad.record(service, key);
    },
    routeTimes: createRouteTimes(clocks.monotonic),
    demand,
    subsets: createSubsetChoice({
      position: () => member.position(),
      regionOf: (zone) => settings.regions[zone],
      random: Math.random,
      onSubset: (service, servers) => {
        metrics.setSubsetSize(service, servers);
      },
      onWidened: (service) => {
        metrics.recordWidenedChoice(service);
      },
    }),
    now: clocks.monotonic,
    random: Math.random,
  });

  function noteUnexpectedError(err: unknown, origin: string): void {
    metrics.recordUnexpectedError();
    log.error('unexpected error', { origin, ...errorFields(err) });
  }

  const stalls = watchStalls(({ lateMs, cpuMs }) => {
    metrics.recordStall(lateMs);
    log.warn('process stalled', { lateMs: Math.round(lateMs), cpuMs: Math.round(cpuMs) });
  });
  const isReady = () =>
    !stopping && config.table() !== undefined && directory.isLoaded() && member.isCaughtUp();
  const peerContext = {
    member,
    onUnusable: unusable.note,
    rowsSince(table: string, version: number) {
      if (table === platform.configTable) return config.watch.deltaSince(version);
      return table === platform.serverTable ? directory.rowsSince(version) : undefined;
    },
  };
  const routeOutcomes = createRouteOutcomes(log, clocks.monotonic);
  const callerContext: CallerListenerContext = {
    budget: clientBudget,
    codec: platform.headers,
    routes: () => (member.isCaughtUp() ? config.table() : undefined),
    handle: (req) => handler.handle(req),
    now: clocks.monotonic,
    stopsAt: () => stopsAt,
    readDelayMs: () => stalls.readDelayMs(),
    onUnexpectedError: (err) => {
      noteUnexpectedError(err, 'request');
    },
    onConnectionClosed(closed) {
      metrics.recordClosedConnection(closed.reason);
      logClosedConnection(closed, log);
    },
    onWaited(wait) {
      metrics.recordWait(wait.what, wait.waitedMs);
      logListenerWait(wait, log);
    },
    onAnswer(req, answer) {
      const latencyMs = clocks.monotonic() - req.arrivedAt;
      metrics.recordAnswer(req, answer, latencyMs);
      routeOutcomes.record(req.route, outcomeOf(answer));
      if (answer.kind === 'own') {
        log.info('answered by the router', {
          request: req.attemptId,
          route: req.route.cfg.name,
          status: answer.status,
          result: answer.result,
          reason: answer.reason,
          retryAfterMs: answer.retryAfterMs && Math.round(answer.retryAfterMs),
          afterMs: Math.round(latencyMs),
          configVersion: config.table()?.cfg.version,
          placementChange: member.view().change,
        });
      }
    },
  };

  /** Waits for a listener, and logs if that takes long. */
  async function opened<Listener>(address: string, opening: Promise<Listener>): Promise<Listener> {
    const timer = setTimeout(() => {
      log.warn('address in use', { address });
    }, SLOW_LISTEN_MS);
    try {
      return await opening;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Opens the listeners: the check of readiness first, and the one for callers last. */
  async function openListeners() {
    const { listen } = settings;
    let readiness: Server | undefined;
    let peerListener: AsyncDisposable | undefined;
    try {
      const readinessEndpoint = endpointOf(listen.readiness);
      readiness = await opened(
        listen.readiness,
        serveReadiness(isReady, readinessEndpoint, undefined, clientBudget),
      );
      start.phaseDone('readiness served', { address: listen.readiness });
      const peerEndpoint = endpointOf(listen.peers);
      peerListener = await opened(
        listen.peers,
        createPeerListener(peerContext, peerEndpoint.host, peerEndpoint.port),
      );
      start.phaseDone('peers listened for', { address: listen.peers });
      const { host, port } = endpointOf(listen.callers);
      const callers = await opened(listen.callers, createCallerListener(callerContext, host, port));
      start.phaseDone('callers listened for', { address: listen.callers });
      return { readiness, peerListener, callers };
    } catch (cause) {
      if (readiness) closeServer(readiness);
      await peerListener?.[Symbol.asyncDispose]();
      peers[Symbol.dispose]();
      stalls[Symbol.dispose]();
      throw cause;
    }
  }

  const { readiness, peerListener, callers: listener } = await openListeners();
  const metricsServer =
    settings.listen.metrics === undefined
      ? undefined
      : serveMetrics(metrics, endpointOf(settings.listen.metrics), log, clientBudget);
  const supervise = (task: () => Promise<void>, origin: string) =>
    superviseTask(task, stop.signal, (err) => {
      noteUnexpectedError(err, origin);
    });
  void supervise(() => config.watch.run(stop.signal), 'configuration watch');
  void supervise(() => directory.run(stop.signal), 'service registry watch');
  const memberStopped = supervise(() => member.run(handOver.signal, stop.signal), 'placement');
  const startWatch = watchStart(
    {
      'store answered': () => config.watch.knownVersion() > 0 || directory.isLoaded(),
      'configuration known': () => config.table() !== undefined,
      'service registry known': () => directory.isLoaded(),
      'placement known': () => member.isCaughtUp(),
      ready: isReady,
    },
    start,
    log,
  );
  log.info('started', {
    zone: instance.availabilityZone,
    region: instance.region,
    graceMs: settings.shutdown.graceMs,
    noticeMs: settings.drain.noticeMs,
    retries: settings.retries,
    settings: settingsDigest(settings),
  });

  return {
    reload(next) {
      const changed = Object.keys(next).filter((key) => {
        const name = key as keyof FleetSettings;
        return JSON.stringify(next[name]) !== JSON.stringify(settings[name]);
      });
      settings = next;
      if (changed.length > 0) metrics.setSettingsDigest(settingsDigest(next));
      log.info('settings reloaded', { changed, digest: settingsDigest(next) });
    },
    reportInvalidSettings(reason) {
      metrics.recordRefusedSettings();
      log.error('settings reload failed, current settings kept', {
        reason,
        digest: settingsDigest(settings),
      });
    },
    noteUnexpectedError,
    async shutDown() {
      const startedAt = clocks.monotonic();
      startWatch[Symbol.dispose]();
      const stopBy = startedAt + settings.shutdown.graceMs - GRACE_MARGIN_MS;
      stopping = true;
      stopsAt = stopBy - LAST_ANSWERS_MS;
      log.info('stopping', { openRequests: listener.openRequests() });
      listener.announceClose();
      handOver.abort();
      await sleep(Math.min(CLOSE_ANNOUNCEMENT_MS, settings.shutdown.graceMs / 2));
      const drained = listener.drain();
      const leftMs = () => Math.max(0, stopBy - clocks.monotonic());
      await Promise.race([drained, sleep(Math.max(0, leftMs() - LAST_ANSWERS_MS))]);
      listener.abortBlockingRequests();
      await Promise.race([drained, sleep(leftMs())]);
      stop.abort();
      await Promise.race([memberStopped, sleep(leftMs())]);
      await peerListener[Symbol.asyncDispose]();
      peers[Symbol.dispose]();
      stalls[Symbol.dispose]();
      readiness.close();
      metricsServer?.[Symbol.dispose]();
      const exitBy = startedAt + settings.shutdown.graceMs - EXIT_MARGIN_MS;
      await Promise.race([drained, sleep(Math.max(0, exitBy - clocks.monotonic()))]);
      listener.reportExit();
      log.info('stopped', {
        openRequests: listener.openRequests(),
        openConnections: listener.openConnections(),
        unsentBytes: listener.unsentBytes(),
        afterMs: Math.round(clocks.monotonic() - startedAt),
      });
    },
  };
}
