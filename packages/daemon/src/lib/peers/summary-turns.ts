import { monotonicMs } from '@boragepoint/ownership';
import type { LoadExchange } from '@boragepoint/routing';

/** Time for which heartbeats carry the same summary, so that every peer gets it. */
const TURN_MS = 500;
/** Time in each turn during which heartbeats carry the summary: one or two of each peer's. */
const SENDING_MS = 150;

/**
 * Gives heartbeats the load summary to carry: the same one to all peers for a short time, then none
 * until the next turn, since most heartbeats have nothing new to tell.
 */
export function createSummaryTurns(load: LoadExchange): () => string {
  let turnAt = -Infinity;
  let summary = '';
  return () => {
    const now = monotonicMs();
    if (now >= turnAt + TURN_MS) {
      turnAt = now;
      summary = load.nextSummary();
    }
    return now < turnAt + SENDING_MS ? summary : '';
  };
}
