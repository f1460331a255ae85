import { monotonicMs } from '@boragepoint/ownership';
import type { LoadExchange } from '@boragepoint/routing';

/** Time for which heartbeats carry the same summary, so that every peer gets it. */
const SUMMARY_PERIOD_MS = 500;
/** Time in each turn during which heartbeats carry the summary: one or two of each peer's. */
const SENDING_WINDOW_MS = 150;

/**
 * Gives heartbeats the load summary to carry: the same one to all peers for a short time, then none
 * until the next turn, since most heartbeats have nothing new to tell.
 */
export function createSummarySchedule(load: LoadExchange): () => string {
  let periodStartedAt = -Infinity;
  let summary = '';
  return () => {
    const now = monotonicMs();
    if (now >= periodStartedAt + SUMMARY_PERIOD_MS) {
      periodStartedAt = now;
      summary = load.nextSummary();
    }
    return now < periodStartedAt + SENDING_WINDOW_MS ? summary : '';
  };
}
