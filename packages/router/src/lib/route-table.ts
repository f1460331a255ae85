import type { FleetConfig, FleetService, RouteConfig, RouteTarget } from '@boragepoint/platform';

/** A route, with the weighted choice among its targets. */
export interface Route {
  readonly cfg: RouteConfig;
  /** Version that added the route; `undefined` if it was in the first one that this router used. */
  readonly addedBy: number | undefined;
  /** Picks the service of the next request in proportion to the weights. */
  nextService(): string;
}

/** Finds routes by host and path. */
export interface RouteTable {
  readonly cfg: FleetConfig;
  /** Finds the route of the host with the longest prefix of the path. */
  find(host: string, path: string): Route | undefined;
  routeNamed(name: string): Route | undefined;
  service(name: string): FleetService | undefined;
}

/** Chooses targets by smooth weighted round robin, so that shares hold over short spans too. */
function createTargetPicker(targets: readonly RouteTarget[]): () => string {
  const [only] = targets;
  if (targets.length === 1 && only) return () => only.service;
  const total = targets.reduce((sum, it) => sum + it.weight, 0);
  // A random start keeps routers that start together from all beginning with the same target.
  const credit = targets.map((it) => it.weight * Math.random());
  return () => {
    let best = 0;
    targets.forEach((it, index) => {
      credit[index] = (credit[index] ?? 0) + it.weight;
      if ((credit[index] ?? 0) > (credit[best] ?? 0)) best = index;
    });
    credit[best] = (credit[best] ?? 0) - total;
    return targets[best]?.service ?? '';
  };
}

const withoutPort = (host: string) => host.replace(/:\d+$/, '').toLowerCase();

/** Creates the route table of a configuration that replaces the one of the previous table, if any. */
export function createRouteTable(cfg: FleetConfig, previous?: RouteTable): RouteTable {
  const byHost = new Map<string, Route[]>();
  const byName = new Map<string, Route>();

  function addedByOf(route: string): number | undefined {
    if (!previous) return undefined;
    const known = previous.routeNamed(route);
    return known ? known.addedBy : cfg.version;
  }

  for (const routeCfg of cfg.routes) {
    const route: Route = {
      cfg: routeCfg,
      addedBy: addedByOf(routeCfg.name),
      nextService: createTargetPicker(routeCfg.targets),
    };
    const routes = byHost.get(routeCfg.host.toLowerCase()) ?? [];
    routes.push(route);
    byHost.set(routeCfg.host.toLowerCase(), routes);
    byName.set(routeCfg.name, route);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.cfg.pathPrefix.length - a.cfg.pathPrefix.length);
  }
  const services = new Map(cfg.services.map((it) => [it.name, it]));
  return {
    cfg,
    find(host, path) {
      const routes = byHost.get(withoutPort(host)) ?? [];
      return routes.find((it) => path.startsWith(it.cfg.pathPrefix));
    },
    routeNamed: (name) => byName.get(name),
    service: (name) => services.get(name),
  };
}
