import type { ServerRate, ServerRates } from './server-rates.js';

/**
 * Share of a named limit that is given out: clocks differ, and requests take different times to
 * arrive.
 */
const USED_SHARE = 0.95;
/** Share of a warm-up rate that is given out; a cold server tolerates bursts above it. */
const COLD_USED_SHARE = 1;
/**
 * Least rate of requests to a server with a limit, per second, of all routers together: a server
 * that gets no request can't say that it takes more.
 */
export const MIN_LIMITED_RATE_PER_S = 0.2;
/** Time for which unused permits add up, in seconds; at least `MIN_DEPTH` permits. */
const DEPTH_S = 0.25;
const MIN_DEPTH = 1.25;
/** Permits that are kept for more urgent requests while there are any. */
const URGENT_RESERVE = 1;
/** More urgent requests per second from which permits are kept for them. */
const MIN_URGENT_PER_S = 0.05;
/** Demand halves in this time, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 1_000;
/** Decayed number of requests below which a priority counts as absent. */
const MIN_DEMAND = 0.01;
/** Time for which a router that asked counts as one that will ask again, in milliseconds. */
const ASKER_TTL_MS = 2_000;
/** Calls about one server that routers may make, per second, besides those per permit. */
const CALLS_PER_S = 20;
const CALLS_PER_PERMIT = 4;
/** Maximum number of permits for one entry of a call. */
const MAX_PERMITS = 1_000;
const MAX_HOLD_TIME_MS = 10_000;
const MAX_SPREAD_MS = 10_000;
const MS_PER_S = 1_000;

/** Requests of one priority and one router that may go to any of the same servers. */
export interface WantedPermits {
  /** Ids of the servers, the preferred one first. */
  readonly servers: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of requests that wait for a permit. */
  readonly count: number;
  /** Number of requests that were refused since the last call without asking. */
  readonly refused: number;
}

/** Permits for `WantedPermits`. */
export interface PermitsReply {
  /** Ids of the servers to which one request each may be sent now. */
  readonly granted: readonly string[];
  /** Time for which the router should not ask again, in milliseconds. */
  readonly holdTimeMs: number;
  /** Time over which room for the refused requests is expected, in milliseconds. */
  readonly spreadMs: number;
}

/** Gives out the requests that servers with a rate limit take, to all routers together. */
export interface PermitAllocator {
  acquire(router: string, wanted: readonly WantedPermits[]): readonly PermitsReply[];
}

/** An amount that changes with time, as it was at a time in milliseconds. */
interface TimedAmount {
  amount: number;
  at: number;
}

interface Bucket {
  readonly startedMs: number;
  readonly tokens: TimedAmount;
  /** Requests by priority, exponentially decaying. */
  readonly demand: Map<number, TimedAmount>;
  /** When each router asked last. */
  readonly askers: Map<string, number>;
}

/** A server with a limit, and what may be given out for it. */
interface LimitedServer {
  readonly bucket: Bucket;
  /** Permits per second. */
  readonly ratePerS: number;
}

function givenPerS({ perS, isNamed }: ServerRate): number {
  return Math.max(perS * (isNamed ? USED_SHARE : COLD_USED_SHARE), MIN_LIMITED_RATE_PER_S);
}

function fill(held: TimedAmount, ratePerS: number, depth: number, now: number): void {
  held.amount = Math.min(depth, held.amount + ((now - held.at) * ratePerS) / MS_PER_S);
  held.at = now;
}

/** Options of {@link createPermitAllocator}. */
export interface PermitAllocatorOptions {
  readonly rates: Pick<ServerRates, 'rateOf'>;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Uniform in [0, 1). */
  random(): number;
}

/**
 * Creates an allocator that starts without permits, because another one may just have given them
 * out.
 */
export function createPermitAllocator(options: PermitAllocatorOptions): PermitAllocator {
  const buckets = new Map<string, Bucket>();

  /** Returns a server with a rate limit; `undefined` for one without. */
  function limitedServer(server: string): LimitedServer | undefined {
    const rate = options.rates.rateOf(server);
    if (!rate) return undefined;
    const now = options.now();
    const ratePerS = givenPerS(rate);
    const known = buckets.get(server);
    const bucket =
      known?.startedMs === rate.startedMs
        ? known
        : {
            startedMs: rate.startedMs,
            tokens: { amount: 0, at: now },
            demand: new Map<number, TimedAmount>(),
            askers: new Map<string, number>(),
          };
    buckets.set(server, bucket);
    // Requests of several priorities need one permit in stock besides the next.
    const reserve = bucket.demand.size > 1 ? URGENT_RESERVE : 0;
    const depth = Math.max(MIN_DEPTH, ratePerS * DEPTH_S) + reserve;
    fill(bucket.tokens, ratePerS, depth, now);
    return { bucket, ratePerS };
  }

  function decayed({ amount, at }: TimedAmount): number {
    return amount * 0.5 ** ((options.now() - at) / DEMAND_HALF_LIFE_MS);
  }

  /** Requests per second for a server, of all priorities or of those more urgent than one. */
  function demandPerS({ demand }: Bucket, moreUrgentThan = Infinity): number {
    const counted = [...demand].filter(([priority]) => priority < moreUrgentThan);
    const weight = counted.reduce((sum, [, it]) => sum + decayed(it), 0);
    return (weight * Math.LN2 * MS_PER_S) / DEMAND_HALF_LIFE_MS;
  }

  function noteDemand(bucket: Bucket, router: string, wanted: WantedPermits): void {
    const now = options.now();
    const before = bucket.demand.get(wanted.priority);
    const amount = (before ? decayed(before) : 0) + wanted.count + wanted.refused;
    bucket.demand.set(wanted.priority, { amount, at: now });
    bucket.askers.set(router, now);
    for (const [priority, it] of bucket.demand) {
      if (decayed(it) < MIN_DEMAND) bucket.demand.delete(priority);
    }
    for (const [asker, at] of bucket.askers) {
      if (at < now - ASKER_TTL_MS) bucket.askers.delete(asker);
    }
  }

  /** Permits that have to be there for a request of a priority to take one. */
  function neededFor(priority: number, bucket: Bucket): number {
    return demandPerS(bucket, priority) > MIN_URGENT_PER_S ? 1 + URGENT_RESERVE : 1;
  }

  function take({ bucket }: LimitedServer, priority: number): boolean {
    if (bucket.tokens.amount < neededFor(priority, bucket)) return false;
    bucket.tokens.amount -= 1;
    return true;
  }

  /** Time until a priority may take a permit, in milliseconds. */
  function waitMs({ bucket, ratePerS }: LimitedServer, priority: number): number {
    const missing = Math.max(0, neededFor(priority, bucket) - bucket.tokens.amount);
    return (missing / ratePerS) * MS_PER_S;
  }

  /** Time for which a router should not ask, so that all of them don't ask for each permit. */
  function holdTimeMs(servers: readonly LimitedServer[], priority: number): number {
    const callsPerS = servers.reduce(
      (sum, it) => sum + it.ratePerS * CALLS_PER_PERMIT + CALLS_PER_S,
      0,
    );
    const askers = Math.max(...servers.map((it) => it.bucket.askers.size));
    const turnMs = ((askers - 1) / callsPerS) * MS_PER_S * (0.5 + options.random());
    const firstMs = Math.min(...servers.map((it) => waitMs(it, priority)));
    return Math.min(MAX_HOLD_TIME_MS, Math.max(firstMs, turnMs));
  }

  /** Time in which the servers take as many requests as now come in a second, in milliseconds. */
  function spreadMs(servers: readonly LimitedServer[]): number {
    const ratePerS = servers.reduce((sum, it) => sum + it.ratePerS, 0);
    const demand = Math.max(1, ...servers.map((it) => demandPerS(it.bucket)));
    return Math.min(MAX_SPREAD_MS, (demand / ratePerS) * MS_PER_S);
  }

  function reply(router: string, wanted: WantedPermits): PermitsReply {
    const { servers, priority, count } = wanted;
    const limited = new Map(servers.map((id) => [id, limitedServer(id)]));
    const known = [...limited.values()].filter((it) => it !== undefined);
    for (const { bucket } of known) noteDemand(bucket, router, wanted);
    const granted: string[] = [];
    while (granted.length < Math.min(count, MAX_PERMITS)) {
      const id = servers.find((it) => {
        const server = limited.get(it);
        return !server || take(server, priority);
      });
      if (id === undefined) break;
      granted.push(id);
    }
    if (granted.length === count) return { granted, holdTimeMs: 0, spreadMs: 0 };
    return { granted, holdTimeMs: holdTimeMs(known, priority), spreadMs: spreadMs(known) };
  }

  return {
    acquire(router, wanted) {
      for (const server of buckets.keys()) {
        if (!options.rates.rateOf(server)) buckets.delete(server);
      }
      const byUrgency = [...wanted.entries()].sort(([, a], [, b]) => a.priority - b.priority);
      const replies = byUrgency.map(([index, it]) => [index, reply(router, it)] as const);
      return replies.sort(([a], [b]) => a - b).map(([, it]) => it);
    },
  };
}
