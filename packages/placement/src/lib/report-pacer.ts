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
/** Time between two reports while nothing changes, in milliseconds. */
const REPORT_CYCLE_MS = 750;
const MIN_REPORT_WAIT_MS = 150;
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

/** Time between the answer to a report and the next report, in a fleet of `routers` routers. */
function reportGapMs(routers: number): number {
  const gapMs = (routers * MS_PER_S) / REPORTS_PER_S;
  return Math.min(MAX_REPORT_GAP_MS, Math.max(MIN_REPORT_GAP_MS, gapMs));
}

/**
 * Longest time for which the leader of a fleet of `routers` routers delays the answer to a report
 * until a change, in milliseconds. Where reports are rare the delay is short, so that what an answer
 * covers of the store's tables is not out of date before the next one.
 */
export function reportWaitMs(routers: number): number {
  return Math.max(MIN_REPORT_WAIT_MS, REPORT_CYCLE_MS - reportGapMs(routers));
}

/** Creates a pacer. */
export function createReportPacer(): ReportPacer {
  const wakeSignal = createWakeSignal();
  return {
    expedite: wakeSignal.wake,
    async wait(routers) {
      const gapMs = reportGapMs(routers);
      await new Promise((resolve) => setTimeout(resolve, MIN_REPORT_GAP_MS));
      if (gapMs > MIN_REPORT_GAP_MS) await wakeSignal.wait(gapMs - MIN_REPORT_GAP_MS);
    },
  };
}
