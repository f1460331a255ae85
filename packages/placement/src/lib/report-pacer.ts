import { createWakeSignal } from '@boragepoint/platform';

/** Shortest time between the answer to a report and the next report, in milliseconds. */
export const MIN_REPORT_GAP_MS = 150;
/**
 * Longest time between the answer to a report and the next report, whatever the number of routers,
 * in milliseconds.
 */
const MAX_REPORT_GAP_MS = 1_000;
/** Reports per second that one leader receives while no request waits for a change. */
const REPORTS_PER_S = 500;
const MS_PER_S = 1_000;

/** Paces a router's reports, so that the leader of a large fleet is not overloaded by them. */
export interface ReportPacer {
  /**
   * Shortens the current or next wait to the minimum, because a request waits for a change of the
   * placement.
   */
  expedite(): void;
  /** Waits until the next report is due, in a fleet of `routers` routers. */
  wait(routers: number): Promise<void>;
}

/** Creates a pacer. */
export function createReportPacer(): ReportPacer {
  const wakeSignal = createWakeSignal();
  return {
    expedite: wakeSignal.wake,
    async wait(routers) {
      const gapMs = Math.min(MAX_REPORT_GAP_MS, (routers * MS_PER_S) / REPORTS_PER_S);
      await new Promise((resolve) => setTimeout(resolve, MIN_REPORT_GAP_MS));
      if (gapMs > MIN_REPORT_GAP_MS) await wakeSignal.wait(gapMs - MIN_REPORT_GAP_MS);
    },
  };
}
