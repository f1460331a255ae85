import type { FleetPosition } from '@boragepoint/placement';

/** Servers near the router in a subset, beyond those of its own share. */
const NEAR_SERVERS = 8;
/** Servers elsewhere, which a lost zone or several lost servers leave. */
const RESERVE_SERVERS = 6;
/** Distance of the reserve from the router's own place, as a share of the ring of all servers. */
const RESERVE_OFFSET = 0.5;
/**
 * Up to this number of routers each router uses all servers: its idle connections last as long as
 * possible there, and it sends enough requests to each server to use them.
 */
const MAX_ROUTERS_WITHOUT_SUBSETS = 12;
/** Weights below this share of the largest are errors of rounding. */
const MIN_WEIGHT = 1e-9;

/** A server that may be in a subset. */
export interface SubsetServer {
  readonly id: string;
  /** Place of the server; neighbouring places are next to each other in alphabetical order. */
  readonly place: string;
}

/** A server in a subset. */
export interface SubsetMember<Server> {
  readonly server: Server;
  /**
   * Share of the requests for which the server is considered, relative to the other servers of the
   * subset: below 1 at the ends of the subset, so that servers at the ends of several subsets get
   * no more requests than others.
   */
  readonly weight: number;
  /** True if the server is in the subset for the loss of others. */
  readonly isReserve: boolean;
}

/** An interval of a ring of length 1 that may end beyond 1. */
interface Interval {
  readonly from: number;
  readonly to: number;
}

/** Length of the part that two intervals share. */
const overlap = (a: Interval, b: Interval) =>
  Math.max(0, Math.min(a.to, b.to) - Math.max(a.from, b.from));

/** Integral from 0 to `x` of the part of [t, t + width) that lies before `end`, over t. */
function integral(x: number, width: number, end: number): number {
  const full = Math.min(Math.max(0, end - width), x);
  const part = Math.min(end, x);
  const partial = part > full ? ((end - full) ** 2 - (end - part) ** 2) / 2 : 0;
  return full * width + partial;
}

/**
 * Weight of a server at [position, position + 1) of a ring of `count` servers for a router whose
 * requests start at points that are uniform in an interval, and spread over the next `width` servers.
 */
function spreadWeight(start: Interval, width: number, position: number, count: number): number {
  let weight = 0;
  for (const turn of [0, count]) {
    const before = (end: number) =>
      end <= 0 ? 0 : integral(start.to, width, end) - integral(start.from, width, end);
    const from = position + turn;
    weight += before(from + 1) - before(from);
  }
  return weight / width;
}

/** Groups servers by place, in the order of the places. */
function byPlace<Server extends SubsetServer>(servers: readonly Server[]): Server[][] {
  const compare = (a: string, b: string) => (a < b ? -1 : a > b ? 1 : 0);
  const sorted = [...servers].sort((a, b) => compare(a.place, b.place) || compare(a.id, b.id));
  const groups: Server[][] = [];
  for (const server of sorted) {
    const last = groups.at(-1);
    if (last?.[0]?.place === server.place) last.push(server);
    else groups.push([server]);
  }
  return groups;
}

/** Servers of one place, all of them eligible or none. */
interface PlaceGroup<Server> {
  readonly servers: readonly Server[];
  readonly isEligible: boolean;
}

const countOf = (groups: readonly PlaceGroup<unknown>[]) =>
  groups.reduce((sum, it) => sum + it.servers.length, 0);

/**
 * Weights of the servers for an interval of the ring of all servers: within each place, the part of
 * the interval there is spread over the next `width` servers of that place. Parts in places that are
 * not eligible are laid out along the ring of those that are. All routers' intervals together cover
 * the ring once, so that all eligible servers have equal sums.
 */
function weightsAt<Server>(
  groups: readonly PlaceGroup<Server>[],
  interval: Interval,
  width: number,
): Map<Server, number> {
  const weights = new Map<Server, number>();
  const add = (server: Server, weight: number) =>
    weights.set(server, (weights.get(server) ?? 0) + weight);
  const eligible = groups.filter((it) => it.isEligible);
  const total = countOf(groups);
  const scale = countOf(eligible) / (total - countOf(eligible));
  for (const turn of [0, total]) {
    let first = turn;
    let excludedBefore = 0;
    for (const { servers, isEligible } of groups) {
      const place = { from: first, to: first + servers.length };
      const from = Math.max(interval.from, place.from) - first;
      const to = Math.min(interval.to, place.to) - first;
      if (overlap(interval, place) > 0 && isEligible) {
        const spread = Math.min(width, servers.length);
        servers.forEach((server, index) =>
          add(server, spreadWeight({ from, to }, spread, index, servers.length)),
        );
      } else if (overlap(interval, place) > 0) {
        const moved = { from: (excludedBefore + from) * scale, to: (excludedBefore + to) * scale };
        for (const [server, weight] of weightsAt(eligible, moved, width))
          add(server, weight / scale);
      }
      first += servers.length;
      if (!isEligible) excludedBefore += servers.length;
    }
  }
  return weights;
}

function membersOf<Server>(
  weights: ReadonlyMap<Server, number>,
  isReserve: boolean,
): SubsetMember<Server>[] {
  const largest = Math.max(...weights.values());
  return [...weights]
    .map(([server, weight]) => ({ server, weight: weight / largest, isReserve }))
    .filter((it) => it.weight > MIN_WEIGHT);
}

/**
 * Returns the subset of the servers of a service that a router uses, or `undefined` if it uses all
 * eligible ones: in a small fleet, or if a subset would have most of them. The servers of one place
 * are all eligible or none is.
 *
 * Routers and servers are laid out along two rings in the order of their places, and a router's
 * subset begins where its part of the ring lies. The loads of the routers spread equally over all
 * servers, and mostly within places with as large a share of the routers as of the servers. A router
 * or server that joins or leaves moves each end by at most its own share of the ring.
 */
export function serverSubset<Server extends SubsetServer>(
  servers: readonly Server[],
  { index, routers }: FleetPosition,
  isEligible: (server: Server) => boolean = () => true,
): readonly SubsetMember<Server>[] | undefined {
  if (routers <= MAX_ROUTERS_WITHOUT_SUBSETS) return undefined;
  const groups = byPlace(servers).map((it) => {
    const [first] = it;
    return { servers: it, isEligible: first !== undefined && isEligible(first) };
  });
  const share = servers.length / routers;
  const eligible = countOf(groups.filter((it) => it.isEligible));
  if (NEAR_SERVERS + RESERVE_SERVERS + share >= eligible) return undefined;
  const start = index * share;
  const near = weightsAt(groups, { from: start, to: start + share }, NEAR_SERVERS);
  const far = (start + servers.length * RESERVE_OFFSET) % servers.length;
  const reserve = weightsAt(groups, { from: far, to: far + share }, RESERVE_SERVERS);
  const members = membersOf(near, false);
  const used = new Set(members.map((it) => it.server));
  return [...members, ...membersOf(reserve, true).filter((it) => !used.has(it.server))];
}
