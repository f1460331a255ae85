import { eraOf } from './eras.js';
import { createWakeSignal } from './wake-signal.js';

/** Another router's report about its own watch of a table of the store. */
export interface TableReport {
  /** True if the store answers that router. */
  readonly answers: boolean;
  /** Version of the table's latest change that it knows. */
  readonly version: number;
  /**
   * Time up to which it knows all changes of the table, on the monotonic clock of the router that
   * has the report; -Infinity if it knows none.
   */
  readonly confirmedAt: number;
}

/**
 * Time for which the store may hold a poll while there are no changes, in milliseconds. A dead
 * connection is detected only after this time, which therefore has to be shorter than the time in
 * which a changed configuration has to be in force.
 */
export const WATCH_WAIT_MS = 2_000;
/**
 * Time for which the store may hold a poll while another router watches the table and would report
 * changes or the loss of the store, in milliseconds.
 */
const PEER_WATCH_WAIT_MS = 20_000;
/** Maximum time between two polls while another router delivers the changes, in milliseconds. */
const MAX_DELIVERED_WAIT_MS = 20_000;
/**
 * Time for which a report is valid, in milliseconds: from its arrival if the watch polls the store
 * besides, from the time that the report covers if it does not.
 */
const REPORT_LIFETIME_MS = 2_000;
/**
 * Maximum time from another router's report of a change to the beginning of its arrival here, in
 * milliseconds. The poll is aborted and repeated after it.
 */
const MAX_ARRIVAL_DELAY_MS = 700;
/** Maximum delay between two retries while the store does not answer, in milliseconds. */
const MAX_RETRY_MS = 800;
/**
 * Maximum delay between two retries while the store does not answer the other router either, in
 * milliseconds. That router would report the recovery of the store.
 */
const MAX_PEER_WATCH_RETRY_MS = 2_400;

/**
 * Schedules the polls of one watch of a table. While another router watches the same table and
 * reports to this one, polls can be longer and retries rarer, since that router would report what
 * this one misses.
 */
export interface PollScheduler extends Disposable {
  /** Takes note of another router's report. */
  applyReport(report: TableReport): void;
  /** True while another router's report is valid and the store answers that router. */
  isPeerWatching(): boolean;
  /**
   * Begins a poll; the signal ends its wait for an answer when the store has to be polled anew.
   */
  beginPoll(): AbortSignal;
  /** Ends the wait of the present poll, or the pause, so that the store is polled anew at once. */
  pollNow(): void;
  /** True if the scheduler aborted the latest poll. */
  wasAborted(): boolean;
  /** Time for which the store may hold a poll, in milliseconds. */
  waitMs(): number;
  /** Maximum delay between two retries, in milliseconds. */
  maxRetryMs(): number;
  /** Waits before the next poll; a report that the store has recovered ends the wait. */
  pause(ms: number, signal: AbortSignal): Promise<void>;
  /**
   * Waits while another router delivers the changes. Ends when a reported change does not arrive,
   * when that router's reports stop, or after a maximum time.
   */
  waitWhileDelivered(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createPollScheduler}. */
export interface PollSchedulerOptions {
  /** Returns the version up to which the watch knows its table. */
  knownVersion(): number;
  /** True if the watch gets the changes from the router that reports, and polls only without it. */
  readonly peerDeliversChanges?: boolean;
}

/** Creates a scheduler. */
export function createPollScheduler(options: PollSchedulerOptions): PollScheduler {
  const knownVersion = () => options.knownVersion();
  let pollAbort = new AbortController();
  let latestReport: TableReport | undefined;
  let expiryTimer: NodeJS.Timeout | undefined;
  let arrivalTimer: NodeJS.Timeout | undefined;
  let reliesOnPeer = false;
  let newestReportedEra = 0;
  let isDisposed = false;
  let wake: (() => void) | undefined;

  const isPeerWatching = () => latestReport?.answers === true;
  const isBehind = () => (latestReport?.version ?? 0) > knownVersion();

  /** Aborts a long poll, since the other router would no longer report changes. */
  function stopRelyingOnPeer(next: TableReport | undefined): void {
    latestReport = next;
    if (reliesOnPeer) pollAbort.abort();
  }

  function lifetimeMs({ answers, confirmedAt }: TableReport): number {
    if (!answers || options.peerDeliversChanges !== true) return REPORT_LIFETIME_MS;
    return Math.max(0, REPORT_LIFETIME_MS - Math.max(0, performance.now() - confirmedAt));
  }

  function checkArrival(): void {
    arrivalTimer = undefined;
    if (isBehind()) pollAbort.abort();
  }

  function beginPoll(): AbortSignal {
    pollAbort = new AbortController();
    reliesOnPeer = isPeerWatching();
    return pollAbort.signal;
  }

  /** Waits for `ms` milliseconds; a call of `wake` or one of the signals ends the wait. */
  function wait(ms: number, signals: readonly AbortSignal[]): Promise<void> {
    // A wake-up signal for each wait: a call of `wake` between two waits must not end the second
    // one.
    const wakeSignal = createWakeSignal();
    wake = wakeSignal.wake;
    return wakeSignal.wait(ms, ...signals);
  }

  return {
    applyReport(report) {
      if (isDisposed) return;
      const isStoreBack = report.answers && latestReport?.answers === false;
      clearTimeout(expiryTimer);
      expiryTimer = setTimeout(() => {
        stopRelyingOnPeer(undefined);
      }, lifetimeMs(report));
      if (!report.answers) {
        stopRelyingOnPeer(report);
        return;
      }
      latestReport = report;
      if (isStoreBack) wake?.();
      const reportedEra = eraOf(report.version);
      if (reportedEra > newestReportedEra) {
        newestReportedEra = reportedEra;
        // The rows of a new era arrive only by reading the whole table.
        if (reportedEra > eraOf(knownVersion())) pollAbort.abort();
      }
      if (isBehind()) arrivalTimer ??= setTimeout(checkArrival, MAX_ARRIVAL_DELAY_MS);
    },
    isPeerWatching,
    beginPoll,
    pollNow() {
      pollAbort.abort();
      wake?.();
    },
    wasAborted: () => pollAbort.signal.aborted,
    waitMs: () => (isPeerWatching() ? PEER_WATCH_WAIT_MS : WATCH_WAIT_MS),
    maxRetryMs: () => (latestReport?.answers === false ? MAX_PEER_WATCH_RETRY_MS : MAX_RETRY_MS),
    pause: (ms, signal) => wait(ms, [signal]),
    async waitWhileDelivered(signal) {
      const pollSignal = beginPoll();
      if (!isBehind()) await wait(MAX_DELIVERED_WAIT_MS, [signal, pollSignal]);
    },
    [Symbol.dispose]() {
      isDisposed = true;
      clearTimeout(expiryTimer);
      clearTimeout(arrivalTimer);
    },
  };
}
