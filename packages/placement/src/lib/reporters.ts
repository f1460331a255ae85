import type { Clocks } from './suspension-guard.js';

/** A router that has not reported for this long counts as gone, in milliseconds. */
const REPORTER_TTL_MS = 3_500;
/** Routers that an answer to a report names. */
const MAX_NAMED_PEERS = 3;

/** A router as it describes itself. */
export interface Reporter {
  readonly router: string;
  readonly address: string;
  /** Processor time that its instance gives it, in cores. */
  readonly capacity: number;
  readonly servedByStore: boolean;
}

/** Routers that report to this one. */
export interface Reporters {
  note(reporter: Reporter): void;
  /** The one with the most processor time of those that the store answers. */
  strongest(): Reporter | undefined;
  /** Routers that reported lately. */
  count(): number;
  /** Where those answer that reported lately. */
  addresses(): string[];
  /** Where some of them answer, but for one of them. */
  someAddresses(except: string): string[];
}

/** Creates an empty record of routers. */
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
