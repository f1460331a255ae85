import type { BackendServer, ServiceConfig } from '@boragepoint/config';

import type { OwnershipContext } from './ownership-context.js';

/** Returns the backend servers of a service that may be given shards. */
export function usableServers(ctx: OwnershipContext, service: ServiceConfig): BackendServer[] {
  const unreachable = ctx.unreachableServers();
  const leaving = ctx.membership.leavingServers();
  return service.backendServers.filter(
    (it) => !it.draining && !unreachable.has(it.id) && !leaving.has(it.id),
  );
}

function ownedCounts(ctx: OwnershipContext, service: ServiceConfig): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { owner } of ctx.map.assignments(service.name)) {
    counts.set(owner, (counts.get(owner) ?? 0) + 1);
  }
  return counts;
}

/**
 * Chooses an owner for each of `count` shards among the usable servers other than `excluded`: the
 * one with the fewest shards; of several, one in the region of `excluded`; of several, the one with
 * the lowest id.
 */
export function chooseTargets(
  ctx: OwnershipContext,
  service: ServiceConfig,
  excluded: string,
  count: number,
): string[] {
  const candidates = usableServers(ctx, service).filter((it) => it.id !== excluded);
  const counts = ownedCounts(ctx, service);
  const preferredRegion = service.backendServers.find((it) => it.id === excluded)?.region;
  const load = (it: BackendServer) => counts.get(it.id) ?? 0;
  const chosen: string[] = [];
  for (let i = 0; i < count && candidates.length > 0; i += 1) {
    candidates.sort(
      (a, b) =>
        load(a) - load(b) ||
        Number(b.region === preferredRegion) - Number(a.region === preferredRegion) ||
        a.id.localeCompare(b.id),
    );
    const next = candidates[0];
    if (next === undefined) break;
    chosen.push(next.id);
    counts.set(next.id, load(next) + 1);
  }
  return chosen;
}
