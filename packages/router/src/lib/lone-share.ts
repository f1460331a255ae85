import { type IncarnationId, MIN_LIMITED_RATE_PER_S } from '@boragepoint/placement';

/** Share of a limit that all routers use together while nobody gives permits out. */
const USED_SHARE = 0.5;
/** Time for which a router may use its turn, in milliseconds. */
const TURN_MS = 1_000;
/** Maximum number of incarnations whose turns are kept; the oldest are dropped first. */
const MAX_INCARNATIONS = 1_000;
const MS_PER_S = 1_000;

/**
 * One router's share of a server's limit while nobody gives permits out. Each router has a turn at
 * times of its own, and a turn that is not used lapses: otherwise the first requests of all routers
 * would come at once.
 */
export interface LoneShare {
  /** Takes this router's turn; returns false if it has none. */
  take(server: IncarnationId, limitPerS: number, routers: number): boolean;
}

/** Creates a share whose first turns are at random times; `random` is uniform in [0, 1). */
export function createLoneShare(now: () => number, random: () => number): LoneShare {
  /** Start of the next turn at each incarnation, in milliseconds. */
  const nextTurns = new Map<string, number>();

  return {
    take({ server, startedMs }, limitPerS, routers) {
      const key = `${server}@${startedMs}`;
      const ratePerS = Math.max(limitPerS * USED_SHARE, MIN_LIMITED_RATE_PER_S);
      const periodMs = (routers * MS_PER_S) / ratePerS;
      let turn = nextTurns.get(key) ?? now() + random() * periodMs;
      const missed = Math.ceil((now() - TURN_MS - turn) / periodMs);
      if (missed > 0) turn += missed * periodMs;
      const isTurn = now() >= turn;
      nextTurns.set(key, isTurn ? turn + periodMs : turn);
      for (const oldest of nextTurns.keys()) {
        if (nextTurns.size <= MAX_INCARNATIONS) break;
        nextTurns.delete(oldest);
      }
      return isTurn;
    },
  };
}
