import type { HeldRange } from './held-range.js';
import type { KnownServer } from './server-directory.js';

/**
 * Number of plans that balance load, one each 500 ms, in which the ranges of excluded owners move.
 * Requests for them wait meanwhile, so that more plans would be longer than callers wait.
 */
const PLANS_PER_EXCLUSION = 2;
/** Smallest number of ranges that move in one plan. */
const MIN_RANGES_PER_PLAN = 16;
/**
 * Time over which servers that may own keys again are given their share, in milliseconds. They come
 * back cold.
 */
const RETURN_MS = 20_000;
/** Share of its capacity that a server counts with when it may own keys again. */
const FIRST_RETURN_SHARE = 0.05;

/** Servers that may not own keys, and those that may again, of one leader. */
export interface ExcludedOwners {
  /** Notes which servers of a service are excluded; to be called before each plan. */
  note(servers: readonly KnownServer[], now: number): void;
  isExcluded(server: string): boolean;
  /** Share of its capacity that a server counts with; below 1 for a while after its return. */
  shareOf(server: string, now: number): number;
  /**
   * Returns the ranges of excluded owners that have to wait for a later plan. Only plans that
   * balance load move any, so that their number is limited.
   */
  waiting(service: string, ranges: readonly HeldRange[], balance: boolean): ReadonlySet<HeldRange>;
}

/** Creates the record of a leader; `mayOwnKeys` is the rule for a service and a zone. */
export function createExcludedOwners(
  mayOwnKeys: (service: string, availabilityZone: string) => boolean,
): ExcludedOwners {
  const excluded = new Set<string>();
  /** When servers that had been excluded came back, on the monotonic clock. */
  const returnedAt = new Map<string, number>();
  /** Number of ranges that move in each plan, by service, until none is left. */
  const rangesPerPlan = new Map<string, number>();

  const isHeldByExcluded = ({ owner }: HeldRange) =>
    owner !== undefined && excluded.has(owner.incarnation.server);

  return {
    note(servers, now) {
      for (const { entry } of servers) {
        const { id, service, availabilityZone } = entry;
        if (!mayOwnKeys(service, availabilityZone)) {
          excluded.add(id);
          returnedAt.delete(id);
        } else if (excluded.delete(id)) returnedAt.set(id, now);
      }
      for (const [id, at] of returnedAt) if (now >= at + RETURN_MS) returnedAt.delete(id);
    },
    isExcluded: (server) => excluded.has(server),
    shareOf(server, now) {
      const at = returnedAt.get(server);
      if (at === undefined) return 1;
      return Math.min(1, Math.max(FIRST_RETURN_SHARE, (now - at) / RETURN_MS));
    },
    waiting(service, ranges, balance) {
      const held = ranges.filter(isHeldByExcluded);
      if (held.length === 0) rangesPerPlan.delete(service);
      if (held.length === 0 || !balance) return new Set(held);
      const share = Math.ceil(held.length / PLANS_PER_EXCLUSION);
      // Further zones that are evacuated meanwhile raise the number.
      const perPlan = Math.max(rangesPerPlan.get(service) ?? MIN_RANGES_PER_PLAN, share);
      rangesPerPlan.set(service, perPlan);
      return new Set(held.filter((it) => !it.busy && !it.renewing).slice(perPlan));
    },
  };
}
