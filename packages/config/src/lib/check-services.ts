import { checkService } from './check-service.js';
import { type Problem, formatPath } from './problem.js';
import type { ServiceConfig } from './service-config.js';
import { findRepeats } from './repeats.js';

interface PlacedServer {
  readonly service: number;
  readonly index: number;
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
}

function listServers(services: readonly ServiceConfig[]): PlacedServer[] {
  return services.flatMap((service, position) =>
    service.backendServers.map((server, index) => ({ ...server, service: position, index })),
  );
}

function at(server: PlacedServer, field: string): string {
  return formatPath(['services', server.service, 'backendServers', server.index, field]);
}

function repeatedNames(services: readonly ServiceConfig[]): Problem[] {
  const repeats = findRepeats(services, (service) => service.name);
  return repeats.map(({ index, value }) => ({
    path: formatPath(['services', index, 'name']),
    message: `another service is named ${value}`,
  }));
}

function repeatedServers(servers: readonly PlacedServer[]): Problem[] {
  const ids = findRepeats(servers, (server) => server.id).map(({ item, value }) => ({
    path: at(item, 'id'),
    message: `another backend server has the id ${value}`,
  }));
  const addresses = findRepeats(servers, (server) => server.address).map(({ item, value }) => ({
    path: at(item, 'address'),
    message: `another backend server has the address ${value}`,
  }));
  return [...ids, ...addresses];
}

function conflictingRegions(servers: readonly PlacedServer[]): Problem[] {
  const regions = new Map<string, string>();
  const problems: Problem[] = [];
  for (const server of servers) {
    const region = regions.get(server.availabilityZone) ?? server.region;
    regions.set(server.availabilityZone, region);
    if (region === server.region) continue;
    const message = `availability zone ${server.availabilityZone} is in region ${region} elsewhere`;
    problems.push({ path: at(server, 'region'), message });
  }
  return problems;
}

/**
 * Checks what a schema can't: names and addresses that repeat, rules that never apply, times that
 * don't fit together. Paths of the problems start with `services[INDEX]`.
 */
export function checkServices(services: readonly ServiceConfig[]): Problem[] {
  const servers = listServers(services);
  const inside = services.flatMap((service, index) =>
    checkService(service).map((it) => ({
      ...it,
      path: `${formatPath(['services', index])}.${it.path}`,
    })),
  );
  return [
    ...repeatedNames(services),
    ...repeatedServers(servers),
    ...conflictingRegions(servers),
    ...inside,
  ];
}
