import type { Clocks } from './suspension-guard.js';

/** Time without a report after which a router is dropped, in milliseconds. */
const REPORTER_TTL_MS = 3_500;
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
}

/** Routers that reported to this one recently. */
export interface Reporters {
  /** Records a report. */
  note(reporter: Reporter): void;
  /** Returns the router with the most processor time among those that the store answers. */
  strongest(): Reporter | undefined;
  /** Number of routers that reported recently. */
  count(): number;
  /** Addresses of the routers that reported recently. */
  addresses(): string[];
  /** Addresses of some of these routers, without the address `except`. */
  someAddresses(except: string): string[];
}

/** Creates an empty set of routers. */
export function createReporters(clocks: Clocks, random: () => number = Math.random): Reporters {
  const reporters = new Map<string, Reporter & { at: number }>();

  function forgetSilent(): void {
    const oldest = clocks.monotonic() - REPORTER_TTL_MS;
    for (const [router, { at }] of reporters) if (at < oldest) reporters.delete(router);
  }

  return {
    note(reporter) {
      reporters.set(reporter.router, { ...reporter, at: clocks.monotonic() });
    },
    strongest() {
      forgetSilent();
      const served = [...reporters.values()].filter((it) => it.servedByStore);
      return served.sort((a, b) => b.capacity - a.capacity)[0];
    },
    count() {
      forgetSilent();
      return reporters.size;
    },
    addresses() {
      forgetSilent();
      return [...reporters.values()].map((it) => it.address);
    },
    someAddresses(except) {
      const others = [...reporters.values()].map((it) => it.address).filter((it) => it !== except);
      if (others.length <= MAX_NAMED_PEERS) return others;
      const start = Math.floor(random() * others.length);
      return Array.from(
        { length: MAX_NAMED_PEERS },
        (_, index) => others[(start + index) % others.length] ?? '',
      );
    },
  };
}
