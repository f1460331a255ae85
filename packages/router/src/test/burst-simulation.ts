import { createRandom } from '@boragepoint/standin';

import { admit } from '../lib/admission.js';
import { chooseServer, expectedAnswerMs } from '../lib/choose-server.js';
import { loadStateOf } from '../lib/server-load.js';
import { createEventQueue } from './event-queue.js';
import { slowdownStarts } from './momentary-slowdowns.js';
import {
  SIMULATED_ROUTE,
  type SimulatedRouter,
  sendSimulated,
  startSimulatedRouter,
} from './simulated-router.js';
import { createSimulatedServer } from './simulated-server.js';

/** A service without keys, all of whose servers each router uses, and a burst of requests. */
export interface Burst {
  readonly seconds: number;
  readonly routers: number;
  readonly servers: number;
  readonly perSecond: number;
  readonly workMs: number;
  speed(server: number): number;
  readonly fromMs: number;
  readonly untilMs: number;
  /** Factor by which requests increase meanwhile. */
  readonly factor: number;
}

/** Result of a second. */
export interface BurstSecond {
  readonly sent: number;
  /** Number of tries that routers refused. */
  readonly refused: number;
  readonly inTime: number;
}

const SLOTS = 6;
const MAX_QUEUE = 24;
const OBJECTIVE_MS = 1_535;
const TIMEOUT_MS = 6_000;
/** How often a caller comes back after a refusal. */
const RETRIES = 2;

/** A server for a request, and the service time by which it was chosen. */
interface Picked {
  readonly id: number;
  readonly serviceMs: number;
}

/** Simulates routers that choose and admit as the product does; equal seeds give equal results. */
export function simulateBurst(burst: Burst, seed: number): BurstSecond[] {
  const random = createRandom(seed);
  const draw = () => random.next();
  const events = createEventQueue();
  let now = 0;
  const servers = Array.from({ length: burst.servers }, (_, id) =>
    createSimulatedServer({
      slots: SLOTS,
      maxQueue: MAX_QUEUE,
      speed: burst.speed(id),
      slowdowns: slowdownStarts(burst.seconds, draw),
    }),
  );
  const routers = Array.from({ length: burst.routers }, () =>
    startSimulatedRouter(burst.servers, SLOTS, () => now),
  );
  const seconds: BurstSecond[] = [];
  const emptySecond = () => ({ sent: 0, refused: 0, inTime: 0 });
  let second = emptySecond();

  const after = (ms: number, run: () => void) => {
    events.add(now + ms, run);
  };
  const ctx = { now: () => now, after, draw };

  /** Returns the server for a request, or the time after which its caller may come back. */
  function pick(router: SimulatedRouter): Picked | { readonly waitMs: number } {
    const candidates = router.servers.map(({ entry, load }) => ({
      id: entry.id,
      ...loadStateOf(load, now),
      distance: 0,
      warmUpRemaining: 0,
    }));
    const chosen = chooseServer(candidates, { objectiveMs: OBJECTIVE_MS, random: draw });
    if (!chosen) throw new Error('no server');
    const routeMs = router.routeTimes.routeServiceMs(SIMULATED_ROUTE, chosen.serviceMs);
    const decision = admit({
      expectedMs: expectedAnswerMs(chosen, routeMs),
      remainingMs: TIMEOUT_MS,
      objectiveMs: OBJECTIVE_MS,
      serviceMs: routeMs,
      priority: 0,
      urgentObjectiveMs: Infinity,
    });
    return decision.kind === 'send'
      ? { id: Number(chosen.id), serviceMs: chosen.serviceMs }
      : { waitMs: decision.retryAfterMs * (1 + draw()) };
  }

  function send(router: SimulatedRouter, { id, serviceMs }: Picked, arrivedAt: number): void {
    const server = servers[id];
    if (!server) return;
    const onAnswer = () => {
      if (now - arrivedAt <= OBJECTIVE_MS) second.inTime += 1;
    };
    sendSimulated({ router, id, server, serviceMs, workMs: burst.workMs, onAnswer }, ctx);
  }

  function handle(router: SimulatedRouter, arrivedAt: number, retries: number): void {
    const picked = pick(router);
    if ('id' in picked) {
      send(router, picked, arrivedAt);
      return;
    }
    second.refused += 1;
    if (retries > 0) after(picked.waitMs, () => { handle(router, arrivedAt, retries - 1); }); // prettier-ignore
  }

  function arrive(): void {
    const factor = now >= burst.fromMs && now < burst.untilMs ? burst.factor : 1;
    after((-Math.log(1 - draw()) * 1_000) / (burst.perSecond * factor), () => {
      second.sent += 1;
      const router = routers[random.below(routers.length)];
      if (router) handle(router, now, RETRIES);
      arrive();
    });
  }

  function endSecond(): void {
    seconds.push(second);
    second = emptySecond();
    after(1_000, endSecond);
  }

  arrive();
  after(1_000, endSecond);
  for (
    let event = events.take();
    event && event.at <= burst.seconds * 1_000;
    event = events.take()
  ) {
    now = event.at;
    event.run();
  }
  return seconds;
}
