import type { FleetConfig, RouteConfig } from '@boragepoint/platform';

/** Routes that a problem names, so that it stays short. */
const MAX_NAMED_ROUTES = 8;

/** Allowed regions of a configuration that can't be used as they are. */
export interface RegionProblem {
  readonly key: string;
  readonly reason: string;
}

/**
 * Finds allowed regions that no availability zone of the settings is in. They allow nothing; the
 * other regions of the route stay allowed.
 */
export function checkAllowedRegions(
  { routes }: Pick<FleetConfig, 'routes'>,
  regions: Readonly<Record<string, string>>,
): readonly RegionProblem[] {
  const known = new Set(Object.values(regions));
  return routes.flatMap(({ name, allowedRegions }) =>
    allowedRegions
      .filter((it) => !known.has(it))
      .map((region) => ({
        key: `route '${name}'`,
        reason: `no availability zone is in the allowed region '${region}'`,
      })),
  );
}

function sharedRegions(routes: readonly RouteConfig[]): readonly string[] {
  const [first, ...others] = routes.map((it) => it.allowedRegions);
  return (first ?? []).filter((region) => others.every((it) => it.includes(region)));
}

/**
 * Finds partitioned services whose routes have no allowed region in common. A key has one owner, so
 * that each of these routes is served for a part of the keys only.
 */
export function checkSharedRegions({
  routes,
  services,
}: Pick<FleetConfig, 'routes' | 'services'>): readonly RegionProblem[] {
  return services
    .filter((it) => it.partitioned)
    .flatMap(({ name }) => {
      const restricted = routes.filter(
        ({ allowedRegions, targets }) =>
          allowedRegions.length > 0 && targets.some((it) => it.service === name && it.weight > 0),
      );
      if (restricted.length === 0 || sharedRegions(restricted).length > 0) return [];
      const described = restricted
        .slice(0, MAX_NAMED_ROUTES)
        .map((it) => `'${it.name}' (${it.allowedRegions.join(', ')})`);
      return [
        {
          key: `service '${name}'`,
          reason: `its keys have no region that all routes allow: ${described.join(', ')}`,
        },
      ];
    });
}
