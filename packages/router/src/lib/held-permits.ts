/** Permits of one router that are not used yet, by the id of their server. */
export interface HeldPermits {
  /** Adds a permit that can be used for a time in milliseconds. */
  put(server: string, ttlMs: number): void;
  /** Takes the permit for a server that lapses first; returns false if there is none. */
  take(server: string): boolean;
}

/** Creates an empty stock; `now` is in milliseconds of a monotonic clock. */
export function createHeldPermits(now: () => number): HeldPermits {
  /** When permits lapse, the first one first, by the id of their server. */
  const lapseTimes = new Map<string, number[]>();

  const usableOf = (server: string) =>
    (lapseTimes.get(server) ?? []).filter((until) => until > now());

  return {
    put(server, ttlMs) {
      const usable = [...usableOf(server), now() + ttlMs];
      lapseTimes.set(
        server,
        usable.sort((a, b) => a - b),
      );
    },
    take(server) {
      if (!lapseTimes.has(server)) return false;
      const usable = usableOf(server);
      const isTaken = usable.shift() !== undefined;
      if (usable.length > 0) lapseTimes.set(server, usable);
      else lapseTimes.delete(server);
      return isTaken;
    },
  };
}
