import type { SpeedReport } from './server-speed.js';

/** Queues of a service's servers, as answers told since the last measurement. */
export interface QueueFigures {
  /** Number of servers of which answers told their load. */
  readonly servers: number;
  /** Mean and longest queueing delay of these servers, in milliseconds. */
  readonly meanDelayMs: number;
  readonly longestDelayMs: number;
}

/** Mean queueing delays by server, in milliseconds; servers without answers are missing. */
export type QueueDelays = ReadonlyMap<string, number>;

/** Collects what the reports of all routers tell of the queues of servers. */
export interface OwnerQueues {
  record(report: Pick<SpeedReport, 'server' | 'loadReports' | 'queuedPerSlot'>): void;
  /**
   * Returns and clears what was recorded. `serviceMsOf` is the service time of a server, for which
   * each waiting request per slot delays a new one.
   */
  take(serviceMsOf: (server: string) => number): QueueDelays;
}

/** Creates an empty collection. */
export function createOwnerQueues(): OwnerQueues {
  let sums = new Map<string, { reports: number; queuedPerSlot: number }>();
  return {
    record({ server, loadReports, queuedPerSlot }) {
      if (loadReports === 0) return;
      const sum = sums.get(server) ?? { reports: 0, queuedPerSlot: 0 };
      sum.reports += loadReports;
      sum.queuedPerSlot += queuedPerSlot;
      sums.set(server, sum);
    },
    take(serviceMsOf) {
      const taken = sums;
      sums = new Map();
      return new Map(
        [...taken].map(([server, { reports, queuedPerSlot }]) => [
          server,
          (queuedPerSlot / reports) * serviceMsOf(server),
        ]),
      );
    },
  };
}

/** Summarizes delays; all figures are 0 without any. */
export function queueFiguresOf(delays: QueueDelays): QueueFigures {
  const all = [...delays.values()];
  const sum = all.reduce((before, it) => before + it, 0);
  return {
    servers: all.length,
    meanDelayMs: all.length > 0 ? sum / all.length : 0,
    longestDelayMs: Math.max(0, ...all),
  };
}
