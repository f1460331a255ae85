import { createWakeSignal } from '@boragepoint/platform';

/** Shortest time between the answer to a report and the next report, in milliseconds. */
export const MIN_REPORT_GAP_MS = 150;
/** Longest time, whatever the number of routers, in milliseconds. */
const MAX_REPORT_GAP_MS = 1_000;
/** Reports a second that one leader gets while its news are not waited for. */
const REPORTS_PER_S = 500;
const MS_PER_S = 1_000;

/** Spaces a router's reports, so that the leader of a large fleet is not kept busy by them. */
export interface ReportPacer {
  /** A request waits for the leader's news: the next report goes out as soon as it may. */
  expedite(): void;
  /** Waits until the next report of one of `routers` routers is due. */
  wait(routers: number): Promise<void>;
}

/** Creates a pace. */
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
