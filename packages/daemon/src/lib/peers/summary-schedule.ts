import { monotonicMs } from '@boragepoint/ownership';
import type { LoadExchange } from '@boragepoint/routing';

/** Interval between load summaries; all peers get the same summary within it. */
const SUMMARY_PERIOD_MS = 500;
/**
 * Time at the start of each period during which heartbeats carry the summary. It covers one or two
 * heartbeats to each peer, so that every peer gets the summary.
 */
const SENDING_WINDOW_MS = 150;

/**
 * Creates a function that returns the load summary for a heartbeat. All peers get the same summary
 * during the sending window; until the next period the function then returns an empty string, since
 * most heartbeats have no new summary to send.
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
