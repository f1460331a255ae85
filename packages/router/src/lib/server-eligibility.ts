import type { RouteConfig, ServerEntry } from '@boragepoint/platform';

/** What decides on a server: where it is. */
export type LocatedServer = Pick<ServerEntry, 'availabilityZone'>;
/** What decides on a route: its name, and the regions that it had when the request arrived. */
export type RestrictedRoute = Pick<RouteConfig, 'name' | 'allowedRegions'>;

/** Decides which servers may receive the requests of a route. */
export interface ServerEligibility {
  /**
   * Returns whether requests of a route may be sent to a server: its zone is not evacuated, and it
   * is in an allowed region of the route.
   */
  isEligible(server: LocatedServer, route: RestrictedRoute): boolean;
  /** Returns whether the zone of a server is being evacuated. */
  isEvacuated(server: LocatedServer): boolean;
  /** Returns whether every server is eligible for a route, wherever it is. */
  isUnrestricted(route: RestrictedRoute): boolean;
}

/** Dependencies of {@link createServerEligibility}. */
export interface ServerEligibilityOptions {
  /** Returns the region of an availability zone; `undefined` if the settings do not name the zone. */
  regionOf(availabilityZone: string): string | undefined;
  /** Availability zones that are being evacuated. */
  evacuatedZones(): ReadonlySet<string>;
  /**
   * Returns the regions that a route is allowed in by the configuration in force, which may be newer
   * than the request; `undefined` if the route is not part of it.
   */
  allowedRegionsOf(route: string): readonly string[] | undefined;
}

/** Creates the rule for a router's settings, configuration and evacuated zones. */
export function createServerEligibility(options: ServerEligibilityOptions): ServerEligibility {
  const regionsOf = (route: RestrictedRoute) =>
    options.allowedRegionsOf(route.name) ?? route.allowedRegions;
  const isEvacuated = ({ availabilityZone }: LocatedServer) =>
    options.evacuatedZones().has(availabilityZone);

  /** A server in a zone without a known region is in no allowed region. */
  function isAllowed({ availabilityZone }: LocatedServer, regions: readonly string[]): boolean {
    if (regions.length === 0) return true;
    const region = options.regionOf(availabilityZone);
    return region !== undefined && regions.includes(region);
  }

  return {
    isEligible: (server, route) => !isEvacuated(server) && isAllowed(server, regionsOf(route)),
    isEvacuated,
    isUnrestricted: (route) => options.evacuatedZones().size === 0 && regionsOf(route).length === 0,
  };
}
