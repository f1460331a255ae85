import type { Settings } from '@boragepoint/config';
import {
  type AssignmentMap,
  type Journal,
  type KeeperManager,
  type Membership,
  type MoveSender,
  type OwnershipContext,
  ROW_PREFIXES,
  type RowStore,
  type RowWriter,
  type ServicePlanner,
  type TableSync,
  createAssignmentMap,
  createJournal,
  createKeeperManager,
  createKeyHasher,
  createLeaseClient,
  createMembership,
  createRowStore,
  createRowWriter,
  createServicePlanner,
  createShardMover,
  createTableSync,
  rankCandidates,
} from '@boragepoint/ownership';
import {
  createConfirmingPool,
  createHttpInstanceList,
  createHttpObjectStore,
  createHttpTableService,
} from '@boragepoint/platform';
import {
  type Ledger,
  type Quarantine,
  type RequestRouter,
  type ServerLinks,
  createLedger,
  createLoadExchange,
  createQuarantine,
  createRequestRouter,
  createRetryBudget,
  createServerLinks,
  createSweeper,
  createSystemClock,
} from '@boragepoint/routing';
import type { Dispatcher } from 'undici';
import { v4 as newIncarnation } from 'uuid';

import { type BurnCounters, createBurnCounters } from './burn/burn-counters.js';
import { createCleanupStack } from './cleanup-stack.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import { createPeerForwarder } from './peers/peer-forwarder.js';
import { createSummarySchedule } from './peers/summary-schedule.js';
import type { PeerStateContext } from './peers/peer-state.js';
import { type PeerLinks, createPeerLinks } from './peers/peer-links.js';
import { createServerVerdicts } from './server-verdicts.js';
import { reportTableFailures } from './table-failures.js';
import { createTableLossReport } from './table-losses.js';

/** Maximum number of connections to each platform service. */
const PLATFORM_CONNECTIONS = 8;

/** All components of a router except its listeners. */
export interface RouterNode extends AsyncDisposable {
  readonly membership: Membership;
  readonly rows: RowStore;
  readonly map: AssignmentMap;
  readonly writer: RowWriter;
  readonly sync: TableSync;
  readonly keepers: KeeperManager;
  readonly planner: ServicePlanner;
  readonly journal: Journal;
  readonly links: PeerLinks;
  readonly servers: ServerLinks;
  readonly ledger: Ledger;
  readonly quarantine: Quarantine;
  readonly router: RequestRouter;
  readonly burn: BurnCounters;
  readonly peerState: PeerStateContext;
  /** Backend servers that this router or a live peer is the keeper of but can't reach. */
  unreachableServers(): ReadonlySet<string>;
  /** Asks the acting keeper of a backend server, this router or a peer, to move shards. */
  readonly sendMoves: MoveSender;
}

/** Creates the components of a router and starts their tasks. */
export async function createRouterNode(
  settings: Settings,
  log: Log,
  metrics: Metrics,
): Promise<RouterNode> {
  const stack = createCleanupStack();
  const incarnation = newIncarnation();
  const clock = createSystemClock();
  const hasher = await createKeyHasher();
  const pools = [settings.platform.table, settings.platform.objects, settings.platform.instances];
  const [tablePool, objectPool, instancePool] = pools.map((url) =>
    createConfirmingPool(url, { connections: PLATFORM_CONNECTIONS }),
  ) as [Dispatcher, Dispatcher, Dispatcher];
  const table = reportTableFailures(createHttpTableService(tablePool), () => {
    sync.noteFailure();
  });
  const membership = createMembership({ ...settings.instance, incarnation });
  const rows = createRowStore(hasher, (key, cause) => {
    log.error('malformed row in the table', { key, cause });
  });
  const map = createAssignmentMap(rows, hasher);
  const writer = createRowWriter(table, rows);
  const journal = createJournal(settings.instance.id, (event) => {
    log.info(event.message, { event: event.kind, server: event.server, service: event.service });
  });
  rows.onChange((key) => {
    if (!key.startsWith(ROW_PREFIXES.config)) return;
    const service = key.slice(ROW_PREFIXES.config.length);
    const version = map.configVersion(service);
    journal.add('configuration', { service }, `version ${version} is in force`);
  });
  const losses = createTableLossReport(journal, metrics);
  const instances = createHttpInstanceList(instancePool);
  const sync = createTableSync(table, instances, rows, membership, (regressed) => {
    losses.reportRows(regressed);
  });
  const quarantine = createQuarantine({
    broadcast: (entries) => links.broadcastQuarantine(entries),
  });
  const ownUnreachable = () => keepers.unreachable();
  const load = createLoadExchange({ clock });
  const peerState: PeerStateContext = {
    rows,
    map,
    membership,
    quarantine,
    load,
    loadSummary: createSummarySchedule(load),
    onInvalidSummary: (peer, cause) => {
      log.warn('malformed load summary from a peer', { peer, cause });
    },
    ownUnreachable,
  };
  const verdicts = createServerVerdicts(clock, map, load);
  const links: PeerLinks = createPeerLinks({ ...peerState, log, metrics });
  const ownership: OwnershipContext = {
    rows,
    map,
    writer,
    mover: createShardMover(rows, writer, settings.instance.id),
    membership,
    leaseClient: createLeaseClient(),
    peers: links,
    journal,
    hasher,
    lastTableReadAt: () => sync.lastReadAt(),
    lastTableReadMs: () => sync.lastReadMs(),
    isTableUp: () => sync.isUp(),
    shardLoads: (service) =>
      load.shardLoads(
        service,
        map.assignments(service).map((it) => it.shard),
      ),
    unreachableServers,
    serverVerdict: (service, server) => verdicts.verdict(service, server),
  };
  const keepers: KeeperManager = createKeeperManager(ownership);
  const planner = createServicePlanner(ownership, sendMoves);
  const servers = createServerLinks(clock);
  const objects = createHttpObjectStore(objectPool);
  const liveRouters = () => membership.live().length;
  const ledger = createLedger({ table, objects, incarnation, liveRouters });
  const sweeper = createSweeper({
    table,
    objects,
    incarnation,
    services: () => map.services().map((it) => it.name),
    isResponsibleFor: (service, digits) => {
      const live = membership.live().map((it) => it.id);
      return rankCandidates(hasher, `${service}/${digits}`, live)[0] === membership.self.id;
    },
  });
  const router = createRequestRouter({
    map,
    keepers,
    ledger,
    links: servers,
    load,
    quarantine,
    budget: createRetryBudget({ clock }),
    membership,
    forwarder: createPeerForwarder(links),
  });

  function unreachableServers(): ReadonlySet<string> {
    const livePeers = [...links.states()].filter(([id]) => membership.isLive(id));
    return new Set([...ownUnreachable(), ...livePeers.flatMap(([, it]) => it.unreachableServers)]);
  }

  async function sendMoves(...[server, orders, reason]: Parameters<MoveSender>): Promise<boolean> {
    const keeper = map.keeper(server)?.value.acting.router;
    if (keeper === undefined) return false;
    if (keeper === membership.self.id) return keepers.moveShards(server, orders, reason);
    return links.moveShards(keeper, server, orders, reason);
  }

  // This router's share of the connections to backend servers depends on the number of live routers.
  const refreshTimer = setInterval(() => {
    servers.setLiveRouters(liveRouters());
    metrics.keptServers.set(keepers.renewedServers().length);
    losses.reportRecords(ledger.stats());
  }, 500);
  for (const pool of [tablePool, objectPool, instancePool]) {
    stack.defer(() => pool.destroy());
  }
  stack.use(ownership.leaseClient);
  stack.use(links);
  stack.use(sync);
  stack.use(ledger);
  stack.use(sweeper);
  stack.use(servers);
  stack.use(planner);
  stack.use(keepers);
  stack.defer(() => {
    clearInterval(refreshTimer);
    verdicts[Symbol.dispose]();
    membership[Symbol.dispose]();
  });
  return {
    membership,
    rows,
    map,
    writer,
    sync,
    keepers,
    planner,
    journal,
    links,
    servers,
    ledger,
    quarantine,
    router,
    burn: createBurnCounters(),
    peerState,
    unreachableServers,
    sendMoves,
    [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
  };
}
