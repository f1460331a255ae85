import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';

import type { ServiceConfigInput } from '@boragepoint/config';

import type { PlatformControl, PlatformCounters } from '../platform/control.js';
import { startBackend, type BackendNode, type Location } from './backend-node.js';
import { startProgram, type Program } from './child-program.js';
import { controlPlatform, readPlatformCounters } from './control-client.js';
import { createLinks, type Links } from './links.js';
import { PROGRAMS, waitForListening } from './programs.js';
import { reserveListeners, startRouter, type RouterNode } from './router-node.js';

const OPERATORS_TOKEN = 'stand-in-operators-token';
const ID_DIGITS = 2;

/** A service and the number of its stand-in backend servers. */
export interface ServicePlan {
  readonly config: Omit<ServiceConfigInput, 'backendServers'>;
  readonly backendServers: number;
  /** Additional command line arguments of its stand-in backend servers. */
  readonly backendArgs?: readonly string[];
}

/** Composition of a fleet. Processes are assigned to the locations in turn. */
export interface FleetPlan {
  readonly locations: readonly Location[];
  readonly routers: number;
  readonly services: readonly ServicePlan[];
  /** Connects routers to one another and to the platform through links that can be cut. */
  readonly linked?: boolean;
  readonly logLevel?: string;
  /**
   * Folder for settings, logs and output, which is kept. Without it, a temporary folder is used and
   * removed on disposal.
   */
  readonly folder?: string;
}

/** A platform, backend servers and routers as child processes; disposal kills them all. */
export interface Fleet extends AsyncDisposable {
  readonly folder: string;
  readonly tokenFile: string;
  readonly token: string;
  readonly platform: { readonly address: string; readonly program: Program };
  readonly links: Links;
  readonly routers: RouterNode[];
  readonly backendServers: BackendNode[];
  controlPlatform(change: PlatformControl): Promise<void>;
  platformCounters(): Promise<PlatformCounters>;
  /** Returns the services to submit, with all backend servers started so far. */
  services(): ServiceConfigInput[];
  /** Starts another backend server; it gets requests once the configuration includes it. */
  addBackend(service: string): Promise<BackendNode>;
  /** Starts another router, publishes it in the instance list and waits until it is ready. */
  addRouter(): Promise<RouterNode>;
  /** Publishes all running processes in the platform's instance list. */
  publishInstances(): Promise<void>;
}

/** Starts a fleet and waits until every router is ready. Does not submit a configuration. */
export async function startFleet(plan: FleetPlan): Promise<Fleet> {
  const folder = plan.folder ?? (await mkdtemp(path.join(tmpdir(), 'boragepoint-')));
  const started: AsyncDisposable[] = [];
  try {
    const fleet = await startPlatformAndCreateFleet(plan, folder, started);
    for (const { config, backendServers } of plan.services) {
      for (let i = 0; i < backendServers; i += 1) await fleet.addBackend(config.name);
    }
    for (let i = 0; i < plan.routers; i += 1) await fleet.addRouter();
    return fleet;
  } catch (cause) {
    await disposeAll(started);
    if (plan.folder === undefined) await rm(folder, { recursive: true, force: true });
    throw cause;
  }
}

async function startPlatform(folder: string): Promise<Fleet['platform']> {
  const program = startProgram({
    name: 'platform',
    script: PROGRAMS.platform,
    args: [],
    outputFile: path.join(folder, 'platform.out'),
  });
  const { listening } = await waitForListening(program);
  return { address: listening, program };
}

async function disposeAll(parts: readonly AsyncDisposable[]): Promise<void> {
  await Promise.all(parts.map((it) => it[Symbol.asyncDispose]()));
}

async function startPlatformAndCreateFleet(
  plan: FleetPlan,
  folder: string,
  started: AsyncDisposable[],
): Promise<Fleet> {
  const tokenFile = path.join(folder, 'operators-token');
  await writeFile(tokenFile, `${OPERATORS_TOKEN}\n`, { mode: 0o600 });
  const platform = await startPlatform(folder);
  const links = createLinks(platform.address, plan.linked !== true);
  started.push(platform.program, links);
  const routers: RouterNode[] = [];
  const backendServers: BackendNode[] = [];

  function locationOf(index: number): Location {
    const location = plan.locations[index % plan.locations.length];
    if (location === undefined) throw new Error('a fleet plan needs at least one location');
    return location;
  }

  function idOf(name: string, count: number): string {
    return `${name}-${String(count + 1).padStart(ID_DIGITS, '0')}`;
  }

  function configOf({ config }: ServicePlan): ServiceConfigInput {
    const servers = backendServers.filter((it) => it.service === config.name);
    return {
      ...config,
      backendServers: servers.map(({ id, address, location }) => ({ id, address, ...location })),
    };
  }

  const fleet: Fleet = {
    folder,
    tokenFile,
    token: OPERATORS_TOKEN,
    platform,
    links,
    routers,
    backendServers,
    controlPlatform: (change) => controlPlatform(platform.address, change),
    platformCounters: () => readPlatformCounters(platform.address),
    services: () => plan.services.map(configOf),
    async addBackend(service) {
      const servicePlan = plan.services.find((it) => it.config.name === service);
      const count = backendServers.filter((it) => it.service === service).length;
      const checks = servicePlan?.config.checksOrders === false ? ['--no-checks'] : [];
      const args = [...checks, ...(servicePlan?.backendArgs ?? [])];
      const id = idOf(service, count);
      const node = await startBackend({ id, service, location: locationOf(count), args, folder });
      started.push(node);
      backendServers.push(node);
      return node;
    },
    async addRouter() {
      const id = idOf('router', routers.length);
      const listeners = await reserveListeners();
      const addresses = { ...listeners, ...(await links.add(id, listeners.peers)) };
      const location = locationOf(routers.length);
      const logLevel = plan.logLevel ?? 'info';
      const node = await startRouter({ id, location, addresses, tokenFile, logLevel, folder });
      started.push(node);
      routers.push(node);
      await fleet.publishInstances();
      await node.waitUntilReady();
      return node;
    },
    async publishInstances() {
      const live = [...routers, ...backendServers].filter((it) => it.program.exit === undefined);
      await fleet.controlPlatform({ instances: live.map((it) => it.record) });
    },
    async [Symbol.asyncDispose]() {
      await disposeAll(started);
      if (plan.folder === undefined) await rm(folder, { recursive: true, force: true });
    },
  };
  return fleet;
}
