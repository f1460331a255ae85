import { formatConfiguration } from './configuration-document.js';
import type { BackendServer, ServiceConfigInput } from './service-config.js';

/**
 * Returns the service unchanged, so that the type checker checks its declaration. Its values are
 * checked by {@link printConfiguration}, together with those of the other services.
 */
export function defineService(service: ServiceConfigInput): ServiceConfigInput {
  return service;
}

/** An availability zone and the region that it is in. */
export type Location = Pick<BackendServer, 'availabilityZone' | 'region'>;

/** A group of similar backend servers, for {@link spreadServers}. */
export interface ServerGroup {
  /** Prefix of the ids, followed by a hyphen and a number from 1. */
  readonly idPrefix: string;
  /** Address of each backend server. */
  readonly addresses: readonly string[];
  /** Availability zones, which are assigned in rotation. */
  readonly locations: readonly [Location, ...Location[]];
  /** Maximum number of connections that all routers together open to each. */
  readonly connections?: number;
  /** Number of requests that each processes concurrently. */
  readonly slots?: number;
}

/** Declares similar backend servers, distributed evenly over availability zones. */
export function spreadServers(group: ServerGroup): ServiceConfigInput['backendServers'] {
  const { idPrefix, addresses, locations, connections, slots } = group;
  return addresses.map((address, index) => {
    const location = locations[index % locations.length] ?? locations[0];
    return {
      id: `${idPrefix}-${index + 1}`,
      address,
      ...location,
      ...(connections === undefined ? {} : { connections }),
      ...(slots === undefined ? {} : { slots }),
    };
  });
}

/**
 * Prints the configuration to standard output, for `boragectl apply -`. If it is invalid, prints
 * nothing and throws a {@link ConfigurationError} with all problems.
 */
export function printConfiguration(services: readonly ServiceConfigInput[]): void {
  const text = formatConfiguration(services);
  if (text.isErr()) throw text.error;
  process.stdout.write(text.value);
}
