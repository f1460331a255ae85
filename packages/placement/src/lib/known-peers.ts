import { isCallable } from '@boragepoint/config';

/** Number of addresses that are kept; the least recently noted are dropped first. */
const MAX_PEERS = 12;

/** Addresses at which other routers were last known to answer. */
export interface KnownPeers {
  /** Adds addresses, or marks them as the most recent; those that can't be called are left out. */
  note(addresses: readonly string[]): void;
  all(): readonly string[];
  /** An address picked at random; `undefined` if none is known. */
  any(): string | undefined;
  /** Removes an address whose router did not answer. */
  forget(address: string): void;
}

/** Creates an empty list; the router's own address `self` is never added. */
export function createKnownPeers(self: string, random: () => number = Math.random): KnownPeers {
  const known = new Set<string>();
  return {
    note(addresses) {
      for (const address of addresses) {
        if (address === self || !isCallable(address)) continue;
        known.delete(address);
        known.add(address);
      }
      for (const address of known) {
        if (known.size <= MAX_PEERS) break;
        known.delete(address);
      }
    },
    all: () => [...known],
    any: () => [...known][Math.floor(random() * known.size)],
    forget(address) {
      known.delete(address);
    },
  };
}
