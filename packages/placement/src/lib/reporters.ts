import type { Clocks } from './suspension-guard.js';

/** A router that has not reported for this long counts as gone, in milliseconds. */
const REPORTER_MS = 3_500;
/** Routers that an answer to a report names. */
const NAMED_PEERS = 3;

/** Routers that report to this one. */
export interface Reporters {
  note(router: string, address: string): void;
  /** Routers that reported lately. */
  count(): number;
  /** Where some of them answer, but for one of them. */
  someAddresses(except: string): string[];
}

/** Creates an empty record of routers. */
export function createReporters(clocks: Clocks, random: () => number = Math.random): Reporters {
  const reporters = new Map<string, { address: string; at: number }>();

  function forgetSilent(): void {
    const oldest = clocks.monotonic() - REPORTER_MS;
    for (const [router, { at }] of reporters) if (at < oldest) reporters.delete(router);
  }

  return {
    note(router, address) {
      reporters.set(router, { address, at: clocks.monotonic() });
    },
    count() {
      forgetSilent();
      return reporters.size;
    },
    someAddresses(except) {
      const others = [...reporters.values()].map((it) => it.address).filter((it) => it !== except);
      if (others.length <= NAMED_PEERS) return others;
      const start = Math.floor(random() * others.length);
      return Array.from(
        { length: NAMED_PEERS },
        (_, index) => others[(start + index) % others.length] ?? '',
      );
    },
  };
}
