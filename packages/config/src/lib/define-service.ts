import { formatConfiguration } from './configuration-document.js';
import type { BackendServer, ServiceConfigInput } from './service-config.js';

/**
 * Declares a service with the help of the type checker. Its values are checked by
 * {@link printConfiguration}, together with those of the other services.
 */
export function defineService(service: ServiceConfigInput): ServiceConfigInput {
  return service;
}

/** An availability zone and the region that it is in. */
export type Location = Pick<BackendServer, 'availabilityZone' | 'region'>;

/** What {@link spreadServers} needs to know of a group of like backend servers. */
export interface ServerGroup {
  /** Start of the ids, followed by a number from 1. */
  readonly idPrefix: string;
  /** Addresses, one for each backend server. */
  readonly addresses: readonly string[];
  /** Availability zones, taken in turn. */
  readonly locations: readonly [Location, ...Location[]];
  /** Connections that all routers together may open to each. */
  readonly connections?: number;
  /** Requests that each works on at the same time. */
  readonly slots?: number;
}

/** Declares a group of like backend servers and spreads it evenly over availability zones. */
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
 * Prints the configuration to standard output, for `boragectl apply -`. Throws
 * {@link ConfigurationError} with all mistakes and prints nothing when there are any.
 */
export function printConfiguration(services: readonly ServiceConfigInput[]): void {
  const text = formatConfiguration(services);
  if (text.isErr()) throw text.error;
  process.stdout.write(text.value);
}
