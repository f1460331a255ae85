import { checkService } from './check-service.js';
import { type Problem, formatPath } from './problem.js';
import type { ServiceConfig } from './service-config.js';
import { findDuplicates } from './duplicates.js';

/** A backend server and its position in the document. */
interface ServerEntry {
  /** Index of the service. */
  readonly service: number;
  /** Index of the backend server in its service. */
  readonly index: number;
  readonly id: string;
  readonly address: string;
  readonly availabilityZone: string;
  readonly region: string;
}

function listServers(services: readonly ServiceConfig[]): ServerEntry[] {
  return services.flatMap((service, position) =>
    service.backendServers.map((server, index) => ({ ...server, service: position, index })),
  );
}

function fieldPath(server: ServerEntry, field: string): string {
  return formatPath(['services', server.service, 'backendServers', server.index, field]);
}

function duplicateNames(services: readonly ServiceConfig[]): Problem[] {
  const duplicates = findDuplicates(services, (service) => service.name);
  return duplicates.map(({ index, value }) => ({
    path: formatPath(['services', index, 'name']),
    message: `another service is named ${value}`,
  }));
}

function duplicateServers(servers: readonly ServerEntry[]): Problem[] {
  const ids = findDuplicates(servers, (server) => server.id).map(({ item, value }) => ({
    path: fieldPath(item, 'id'),
    message: `another backend server has the id ${value}`,
  }));
  const addresses = findDuplicates(servers, (server) => server.address).map(({ item, value }) => ({
    path: fieldPath(item, 'address'),
    message: `another backend server has the address ${value}`,
  }));
  return [...ids, ...addresses];
}

function conflictingRegions(servers: readonly ServerEntry[]): Problem[] {
  const regions = new Map<string, string>();
  const problems: Problem[] = [];
  for (const server of servers) {
    const region = regions.get(server.availabilityZone) ?? server.region;
    regions.set(server.availabilityZone, region);
    if (region === server.region) continue;
    const message = `availability zone ${server.availabilityZone} is in region ${region} elsewhere`;
    problems.push({ path: fieldPath(server, 'region'), message });
  }
  return problems;
}

/**
 * Checks services for problems that a schema can't find: duplicate names and addresses,
 * availability zones in two regions, rules that never apply, inconsistent times. Paths of the
 * problems start with `services[INDEX]`.
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
    ...duplicateNames(services),
    ...duplicateServers(servers),
    ...conflictingRegions(servers),
    ...inside,
  ];
}
