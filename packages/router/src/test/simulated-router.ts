import {
  type KnownShares,
  NEVER_COLD,
  createKnownShares,
  createServerLimits,
} from '@boragepoint/placement';
import type { ReportedLoad } from '@boragepoint/platform';

import { expectedServiceTimes } from '../lib/choose-server.js';
import type { GuardedRun } from '../lib/crash-guard.js';
import { createRouteTimes } from '../lib/route-times.js';
import type { RouterLog } from '../lib/router-log.js';
import type { SendOutcome } from '../lib/send-request.js';
import { createServerLoad } from '../lib/server-load.js';
import { createTypicalServiceTime } from '../lib/typical-service-time.js';
import { type SendTimes, createServerObserver } from '../lib/server-observer.js';
import { NETWORK_MS, type SimulatedServer, drawWorkMs } from './simulated-server.js';

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
    slots,
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

/** A request that a simulated router sends to a server. */
export interface SimulatedSend {
  readonly router: SimulatedRouter;
  readonly id: number;
  readonly server: SimulatedServer;
  /** Service time of the server that the pick was based on, in milliseconds. */
  readonly serviceMs: number;
  /** Mean work at a server of speed 1, in milliseconds. */
  readonly workMs: number;
  /** Called with the answer; not if the queue is full. */
  onAnswer(): void;
}

/** The clock, the events and the random numbers of a simulation. */
export interface SimulationContext {
  now(): number;
  after(ms: number, run: () => void): void;
  /** Uniform in [0, 1). */
  draw(): number;
}

/** Sends a request, and lets the router learn of its outcome. */
export function sendSimulated(send: SimulatedSend, ctx: SimulationContext): void {
  const { router, id, server, serviceMs } = send;
  const load = router.servers[id]?.load;
  if (!load) return;
  const startedAt = ctx.now();
  const inFlight = load.totalInFlight(startedAt);
  const queue = { inFlight, slots: router.slots, warmUpRemaining: 0 };
  const times = { startedAt, serviceTimes: expectedServiceTimes(queue), serviceMs };
  load.recordSent(startedAt);
  const endAt = server.take(
    startedAt,
    drawWorkMs(send.workMs, () => ctx.draw()),
  );
  if (endAt === undefined) {
    ctx.after(NETWORK_MS, () => {
      router.noteReset(id, times);
    });
    return;
  }
  ctx.after(endAt - startedAt + NETWORK_MS, () => {
    router.noteAnswer(id, server.end(ctx.now()), times);
    send.onAnswer();
  });
}
