import type { ServerDirectory } from '@boragepoint/placement';
import type { FleetConfig, RouteConfig } from '@boragepoint/platform';

import type { ServerEligibility } from './server-eligibility.js';

type RuleConfig = Pick<FleetConfig, 'routes'>;

/** Dependencies of {@link createKeyOwnerRule}. */
export interface KeyOwnerRuleOptions {
  /** The configuration in force; `undefined` before the first one. */
  config(): RuleConfig | undefined;
  readonly eligibility: Pick<ServerEligibility, 'isEligible' | 'isEvacuated'>;
  readonly directory: Pick<ServerDirectory, 'ofService'>;
}

/**
 * Creates the rule by which the placement leader gives keys to servers: not to those in evacuated
 * zones, and only to those that are eligible for all routes to the service, if there are any. A key
 * has one owner for all routes, so that an owner elsewhere could not serve the restricted ones.
 */
export function createKeyOwnerRule(
  options: KeyOwnerRuleOptions,
): (service: string, availabilityZone: string) => boolean {
  const { eligibility, directory } = options;
  /** Routes with allowed regions; the rule is asked for each server, and routes may be thousands. */
  let restricted: { cfg: RuleConfig; routes: readonly RouteConfig[] } | undefined;

  function restrictedRoutes(): readonly RouteConfig[] {
    const cfg = options.config();
    if (!cfg) return [];
    if (restricted?.cfg !== cfg) {
      restricted = { cfg, routes: cfg.routes.filter((it) => it.allowedRegions.length > 0) };
    }
    return restricted.routes;
  }

  function restrictedRoutesTo(service: string): readonly RouteConfig[] {
    return restrictedRoutes().filter(({ targets }) =>
      targets.some((it) => it.service === service && it.weight > 0),
    );
  }

  return (service, availabilityZone) => {
    if (eligibility.isEvacuated({ availabilityZone })) return false;
    const routes = restrictedRoutesTo(service);
    if (routes.length === 0) return true;
    const servesAll = (zone: string) =>
      routes.every((it) => eligibility.isEligible({ availabilityZone: zone }, it));
    const available = directory.ofService(service).filter((it) => !it.entry.draining);
    const hasCommonServer = available.some(({ entry }) => servesAll(entry.availabilityZone));
    return !hasCommonServer || servesAll(availabilityZone);
  };
}
