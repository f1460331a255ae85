import { MAX_UNANSWERED_GRANT_MS } from './recover-placement.js';
import type { Clocks } from './suspension-guard.js';

/** Time without a report after which a router is dropped, in milliseconds. */
const REPORTER_TTL_MS = 3_500;
/**
 * Time since its last report for which a router may still reach servers that hold leases, in
 * milliseconds: as long as the longest of these leases.
 */
const REACH_TTL_MS = MAX_UNANSWERED_GRANT_MS;
/** Maximum number of routers named in an answer to a report. */
const MAX_NAMED_PEERS = 3;

/** A router, as described in its reports. */
export interface Reporter {
  readonly router: string;
  readonly address: string;
  /** Processor time available to its process, in cores. */
  readonly capacity: number;
  /** True if the store answers the router. */
  readonly servedByStore: boolean;
  /** True if its process is about to end. */
  readonly stopping: boolean;
  /** Region and availability zone. */
  readonly place: string;
}

type Located = Pick<Reporter, 'router' | 'place'>;

/** Whether a router comes before another one in the order of their places and ids. */
export const comesBefore = (a: Located, b: Located): boolean =>
  a.place < b.place || (a.place === b.place && a.router < b.router);

/** Routers that reported to this one recently. */
export interface Reporters {
  /** Records a report. */
  note(reporter: Reporter): void;
  /** Returns the router with the most processor time among those that the store answers. */
  strongest(): Reporter | undefined;
  /** Number of routers that reported recently. */
  count(): number;
  /** Number of routers that reported recently and come before a router in the order of places. */
  countBefore(router: Located): number;
  /** Addresses of the routers that reported recently. */
  addresses(): string[];
  /**
   * Addresses of the routers that may reach servers which this one does not reach, whether or not
   * they still report; without those that said that they stop.
   */
  mayReachServers(): string[];
  /** Addresses of some of these routers, without the address `except`. */
  someAddresses(except: string): string[];
}

/** Creates an empty set of routers. */
export function createReporters(clocks: Clocks, random: () => number = Math.random): Reporters {
  const reporters = new Map<string, Reporter & { at: number }>();

  function forgetSilent(): void {
    const oldest = clocks.monotonic() - REACH_TTL_MS;
    for (const [router, { at }] of reporters) if (at < oldest) reporters.delete(router);
  }

  function recent(): readonly Reporter[] {
    forgetSilent();
    const oldest = clocks.monotonic() - REPORTER_TTL_MS;
    return [...reporters.values()].filter((it) => it.at >= oldest);
  }

  return {
    note(reporter) {
      reporters.set(reporter.router, { ...reporter, at: clocks.monotonic() });
    },
    strongest() {
      const served = recent().filter((it) => it.servedByStore);
      return served.sort((a, b) => b.capacity - a.capacity)[0];
    },
    count: () => recent().length,
    countBefore: (router) => recent().filter((it) => comesBefore(it, router)).length,
    addresses: () => recent().map((it) => it.address),
    mayReachServers() {
      forgetSilent();
      return [...reporters.values()].filter((it) => !it.stopping).map((it) => it.address);
    },
    someAddresses(except) {
      const others = recent()
        .map((it) => it.address)
        .filter((it) => it !== except);
      if (others.length <= MAX_NAMED_PEERS) return others;
      const start = Math.floor(random() * others.length);
      return Array.from(
        { length: MAX_NAMED_PEERS },
        (_, index) => others[(start + index) % others.length] ?? '',
      );
    },
  };
}
