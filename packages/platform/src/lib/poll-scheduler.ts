import { createWakeSignal } from './wake-signal.js';

/** What another router knows of a table of the store. */
export interface TableReport {
  /** The store answers that router. */
  readonly answers: boolean;
  /** Version of the newest change of the table that it knows. */
  readonly version: number;
}

/**
 * Longest time that the store holds a watch without a change, in milliseconds. A connection that has gone silent
 * is noticed after it, and has to be before a change must be in force.
 */
export const WATCH_WAIT_MS = 2_000;
/** The same while another router would tell of a change or of the store's end. */
const PEER_WATCH_WAIT_MS = 20_000;
/** Longest time without a question to the store while another router delivers the changes, in milliseconds. */
const MAX_DELIVERED_WAIT_MS = 20_000;
/** Time for which advice holds, in milliseconds. */
const REPORT_LIFETIME_MS = 2_000;
/** Time that a change may take to arrive here after another router has told of it, in milliseconds. */
const MAX_ARRIVAL_DELAY_MS = 700;
/** Longest pause between two tries while the store is lost, in milliseconds. */
const MAX_RETRY_MS = 800;
/** The same while another router, which would tell of the store's return, has lost it, too. */
const MAX_PEER_WATCH_RETRY_MS = 2_400;

/** Decides how long a watch may wait for the store, by what another router knows of it. */
export interface PollScheduler extends Disposable {
  applyReport(report: TableReport): void;
  /** Another router would tell of a change or of the store's end. */
  isPeerWatching(): boolean;
  /** Starts a poll; the signal ends it when it has to be asked again. */
  beginPoll(): AbortSignal;
  /** Whether the poll that was begun last was ended by the guide. */
  wasAborted(): boolean;
  /** How long the store may hold a poll, in milliseconds. */
  waitMs(): number;
  /** Longest pause between two tries, in milliseconds. */
  maxRetryMs(): number;
  /** Waits before the next try; the store's return ends the wait. */
  pause(ms: number, signal: AbortSignal): Promise<void>;
  /** Waits while another router delivers changes, until they fail to come or nobody tells of them any more. */
  waitWhileDelivered(signal: AbortSignal): Promise<void>;
}

/** Creates a guide without advice; `knownVersion` is the version up to which the watch knows its table. */
export function createPollScheduler(knownVersion: () => number): PollScheduler {
  let pollAbort = new AbortController();
  let latestReport: TableReport | undefined;
  let expiryTimer: NodeJS.Timeout | undefined;
  let arrivalTimer: NodeJS.Timeout | undefined;
  let reliesOnPeer = false;
  let isDisposed = false;
  let wake: (() => void) | undefined;

  const isPeerWatching = () => latestReport?.answers === true;
  const isBehind = () => (latestReport?.version ?? 0) > knownVersion();

  /** Nobody tells of changes any more: a poll that relies on it ends. */
  function stopRelyingOnPeer(next: TableReport | undefined): void {
    latestReport = next;
    if (reliesOnPeer) pollAbort.abort();
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

  /** Waits for a time; one of the signals or a call of `wake` ends the wait. */
  function wait(ms: number, signals: readonly AbortSignal[]): Promise<void> {
    // A call of `wake` while nobody waits must not end the next wait.
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
      }, REPORT_LIFETIME_MS);
      if (!report.answers) {
        stopRelyingOnPeer(report);
        return;
      }
      latestReport = report;
      if (isStoreBack) wake?.();
      if (isBehind()) arrivalTimer ??= setTimeout(checkArrival, MAX_ARRIVAL_DELAY_MS);
    },
    isPeerWatching,
    beginPoll,
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
