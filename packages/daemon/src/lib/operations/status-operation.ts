import type {
  KeeperStatus,
  RouterStatus,
  ServerState,
  ServerStatus,
  ServiceConfig,
} from '@boragepoint/config';
import { ROW_PREFIXES } from '@boragepoint/ownership';
import { ok } from 'neverthrow';

import type { OperatorOperations } from '../operators/index.js';
import type { ReadinessCheck } from '../readiness.js';
import type { RouterNode } from '../router-node.js';

/** Creates the operation that reports the routers and backend servers as this router sees them. */
export function createStatusOperation(
  node: RouterNode,
  readiness: ReadinessCheck,
): OperatorOperations['status'] {
  const { map, membership, links } = node;

  function serviceVersions() {
    return map.services().map(({ name }) => ({ name, version: map.configVersion(name) }));
  }

  function peers(): RouterStatus[] {
    return [...links.states().values()].flatMap((state) => {
      const { id, incarnation } = state.sender ?? { id: '', incarnation: '' };
      if (!membership.isLive(id, incarnation)) return [];
      const services = state.configurations.map((it) => ({
        name: it.key.slice(ROW_PREFIXES.config.length),
        version: Number(it.version),
      }));
      const { availabilityZone, region, leaving } = state;
      const reportAgeMs = Math.round(membership.silentForMs(id, incarnation));
      const stateName = leaving ? ('leaving' as const) : ('live' as const);
      return [{ id, availabilityZone, region, state: stateName, services, reportAgeMs }];
    });
  }

  function keeperOf(server: string): KeeperStatus {
    const row = map.keeper(server)?.value;
    const { id } = membership.self;
    const role = row?.acting.router === id ? 'keeper' : 'standby';
    const hasRole = row?.acting.router === id || row?.standby?.router === id;
    return {
      server,
      keeper: row?.acting.router ?? null,
      standby: row?.standby?.router ?? null,
      keeperEpoch: row?.acting.epoch ?? 0,
      role: hasRole ? role : 'none',
    };
  }

  function stateOf(id: string, isDraining: boolean, unreachable: ReadonlySet<string>): ServerState {
    if (unreachable.has(id)) return 'unreachable';
    return isDraining || membership.leavingServers().has(id) ? 'draining' : 'serving';
  }

  function serversOf(service: ServiceConfig, unreachable: ReadonlySet<string>): ServerStatus[] {
    return service.backendServers.map(({ id, availabilityZone, region, draining }) => ({
      id,
      service: service.name,
      availabilityZone,
      region,
      state: stateOf(id, draining, unreachable),
      shards: map.ownedBy(service.name, id).length,
    }));
  }

  return () => {
    const { id, availabilityZone, region, leaving } = membership.self;
    const { ready, reasons } = readiness.readiness();
    const unreachable = node.unreachableServers();
    const own: RouterStatus = {
      id,
      availabilityZone,
      region,
      state: leaving ? 'leaving' : 'live',
      services: serviceVersions(),
      reportAgeMs: 0,
    };
    const services = map.services();
    const servers = services.flatMap((it) => serversOf(it, unreachable));
    return Promise.resolve(
      ok({
        router: { id, availabilityZone, region, ready, reasons: [...reasons] },
        services: serviceVersions(),
        routers: [own, ...peers()],
        keepers: servers.map((it) => keeperOf(it.id)),
        servers,
      }),
    );
  };
}
