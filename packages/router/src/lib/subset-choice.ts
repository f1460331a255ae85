import type { FleetPosition } from '@boragepoint/placement';

import type { LocatedServer } from './server-eligibility.js';
import type { PooledServer } from './server-pool.js';
import { type SubsetMember, serverSubset } from './server-subset.js';

/** Dependencies of the choice of subsets. */
export interface SubsetChoiceOptions {
  /** This router's position; `undefined` while it is not known. The same object while unchanged. */
  position(): FleetPosition | undefined;
  regionOf(availabilityZone: string): string | undefined;
  /** Uniform in [0, 1). */
  random(): number;
  /** Called when the number of servers that are used of a service may have changed. */
  onSubset(service: string, servers: number): void;
  /** Called when a request is sent to any server because its subset could not take it. */
  onWidened(service: string): void;
}

/** Chooses the servers among which a request's server is picked. */
export interface SubsetChoice {
  /**
   * Draws the servers of this router's subset that are considered for one request; `undefined` if
   * the router uses all eligible servers. Subsets are kept for as long as the list is the same array
   * and the same zones are eligible; no other work goes over all servers.
   */
  draw(
    service: string,
    servers: readonly PooledServer[],
    isEligible: (server: LocatedServer) => boolean,
  ): readonly PooledServer[] | undefined;
  noteWidened(service: string): void;
}

type Subset = readonly SubsetMember<{ readonly pooled: PooledServer }>[] | undefined;

/** Subsets of one list of servers. */
interface KnownSubsets {
  readonly position: FleetPosition;
  readonly zones: readonly string[];
  /** By the eligible zones. */
  readonly byZones: Map<string, Subset>;
}

/** Creates the choice of one router. */
export function createSubsetChoice(options: SubsetChoiceOptions): SubsetChoice {
  const known = new WeakMap<readonly PooledServer[], KnownSubsets>();

  function knownOf(servers: readonly PooledServer[], position: FleetPosition): KnownSubsets {
    const existing = known.get(servers);
    if (existing?.position === position) return existing;
    const zones = [...new Set(servers.map((it) => it.entry.availabilityZone))];
    const created = { position, zones, byZones: new Map<string, Subset>() };
    known.set(servers, created);
    return created;
  }

  function computeSubset(
    servers: readonly PooledServer[],
    position: FleetPosition,
    zones: readonly string[],
  ): Subset {
    const located = servers.map((pooled) => {
      const { id, availabilityZone: zone } = pooled.entry;
      return { id, place: `${options.regionOf(zone) ?? ''}/${zone}`, pooled };
    });
    const isEligible = ({ pooled }: { readonly pooled: PooledServer }) =>
      zones.includes(pooled.entry.availabilityZone);
    return serverSubset(located, position, isEligible);
  }

  return {
    draw(service, servers, isEligible) {
      const position = options.position();
      if (!position) return undefined;
      const { zones, byZones } = knownOf(servers, position);
      const eligible = zones.filter((it) => isEligible({ availabilityZone: it }));
      const key = eligible.join(' ');
      if (!byZones.has(key)) {
        const subset = computeSubset(servers, position, eligible);
        byZones.set(key, subset);
        const used = subset ?? servers.filter((it) => isEligible(it.entry));
        options.onSubset(service, used.length);
      }
      return byZones
        .get(key)
        ?.filter(({ weight }) => weight === 1 || options.random() < weight)
        .map((it) => it.server.pooled);
    },
    noteWidened: (service) => {
      options.onWidened(service);
    },
  };
}
