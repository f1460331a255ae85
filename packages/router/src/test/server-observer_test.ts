import { test } from 'node:test';

import { createServerLimits, NEVER_COLD } from '@boragepoint/placement';
import type { ReportedLoad } from '@boragepoint/platform';
import { expect } from 'earl';

import { reportedServiceTimes } from '../lib/choose-server.js';
import type { GuardedRun } from '../lib/crash-guard.js';
import { createRouteTimes } from '../lib/route-times.js';
import type { SendOutcome } from '../lib/send-request.js';
import { createServerLoad } from '../lib/server-load.js';
import { createServerObserver } from '../lib/server-observer.js';

const ROUTE = 'r';
const SLOTS = 2;
const SERVICE_MS = 200;
const FULL: ReportedLoad = { running: SLOTS, waiting: 3 * SLOTS, slots: SLOTS, slowdown: 1 };
/** Time that an answer of a server with such a queue takes. */
const FULL_LATENCY_MS = reportedServiceTimes(FULL) * SERVICE_MS;

/**
 * Returns what is known of a server and a route after answers of a server with a long queue, for
 * which the picker assumes a service time; by default that of the server.
 */
function learnFromAnswers(answers: number, assumedMs?: number) {
  const load = createServerLoad(SLOTS);
  const routeTimes = createRouteTimes(() => FULL_LATENCY_MS);
  const observer = createServerObserver({
    log: { info: () => undefined, warn: () => undefined } as never,
    limits: createServerLimits(() => 0),
    shareLimits: () => undefined,
    noteLeaving: () => false,
    routeTimes,
    metrics: { recordAnnouncement: () => undefined },
    now: () => FULL_LATENCY_MS,
  });
  const server = {
    entry: { id: 'a', startedMs: 1 },
    load,
    cold: NEVER_COLD,
    connections: { closeExtra: () => undefined },
  };
  const run = { server, req: { route: { cfg: { name: ROUTE } } } } as unknown as GuardedRun;
  const outcome = { kind: 'answer', answer: { status: 200, meta: { load: FULL } } };
  for (let count = 0; count < answers; count += 1) {
    load.recordSent(0);
    observer.noteOutcome(run, outcome as unknown as SendOutcome, {
      startedAt: 0,
      serviceTimes: 1,
      serviceMs: assumedMs ?? load.serviceMs(),
    });
  }
  return {
    serviceMs: load.serviceMs(),
    routeMs: routeTimes.routeServiceMs(ROUTE, assumedMs ?? SERVICE_MS),
  };
}

// Guards against requests with little time left that are refused whatever the queue is, because the
// time that former ones spent in a queue counts as slowness of the server or of the route.
test('time in a queue that the router did not know of is no slowness', () => {
  const { serviceMs, routeMs } = learnFromAnswers(100);
  expect(serviceMs).toBeGreaterThan(SERVICE_MS * 0.9);
  expect(serviceMs).toBeLessThan(SERVICE_MS * 1.1);
  expect(routeMs).toBeLessThan(SERVICE_MS * 1.1);
});

// Guards against the service time of a route that is several times too long, because it is learned
// relative to one estimate of the server and applied to another.
test('the service time of a route fits the estimate with which the picker applies it', () => {
  const { routeMs } = learnFromAnswers(100, 4 * SERVICE_MS);
  expect(routeMs).toBeLessThan(2 * SERVICE_MS);
});
