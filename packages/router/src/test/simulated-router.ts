import {
  type KnownShares,
  NEVER_COLD,
  createKnownShares,
  createServerLimits,
} from '@boragepoint/placement';
import type { ReportedLoad } from '@boragepoint/platform';

import type { GuardedRun } from '../lib/crash-guard.js';
import { createRouteTimes } from '../lib/route-times.js';
import type { RouterLog } from '../lib/router-log.js';
import type { SendOutcome } from '../lib/send-request.js';
import { createServerLoad } from '../lib/server-load.js';
import { createTypicalServiceTime } from '../lib/typical-service-time.js';
import { type SendTimes, createServerObserver } from '../lib/server-observer.js';

/** The only route of a simulated router. */
export const SIMULATED_ROUTE = 'r';

export type SimulatedRouter = ReturnType<typeof startSimulatedRouter>;

/** Starts a router that learns of servers by the product's observer; `now` is in milliseconds. */
export function startSimulatedRouter(serverCount: number, slots: number, now: () => number) {
  const routeTimes = createRouteTimes(now);
  const observer = createServerObserver({
    log: { info: () => undefined, warn: () => undefined } as unknown as RouterLog,
    limits: createServerLimits(now),
    shareLimits: () => undefined,
    noteLeaving: () => false,
    routeTimes,
    metrics: { recordAnnouncement: () => undefined },
    now,
  });
  const connections = { closeExtra: () => undefined, replacePools: () => undefined };
  const typicalServiceMs = createTypicalServiceTime(() => loads, now);
  const loads = Array.from({ length: serverCount }, () =>
    createServerLoad(slots, typicalServiceMs),
  );
  const servers = loads.map((load, id) => {
    const entry = { id: String(id), startedMs: 1 };
    return { entry, load, cold: NEVER_COLD, connections };
  });
  const req = { route: { cfg: { name: SIMULATED_ROUTE } }, disconnectSignal: { aborted: false } };

  function note(id: number, outcome: unknown, times: SendTimes): void {
    const run = { req, server: servers[id] } as unknown as GuardedRun;
    observer.noteOutcome(run, outcome as SendOutcome, times);
  }

  const admitted: KnownShares = createKnownShares(now);
  return {
    servers,
    routeTimes,
    /** Keys of requests since the last report to the leader. */
    keys: [] as number[],
    admitted,
    noteAnswer(id: number, load: ReportedLoad, times: SendTimes) {
      note(id, { kind: 'answer', answer: { status: 200, meta: { load } } }, times);
    },
    noteReset(id: number, times: SendTimes) {
      note(id, { kind: 'unknown', why: 'broken-off', detail: '' }, times);
    },
  };
}
