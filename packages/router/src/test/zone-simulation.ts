import { createRandom } from '@boragepoint/standin';

import { type ServerCandidate, chooseServer, expectedServiceTimes } from '../lib/choose-server.js';
import { type ServerLoad, createServerLoad, loadStateOf } from '../lib/server-load.js';
import { createEventQueue } from './event-queue.js';

/**
 * A load pattern for the simulation of the choice among equal servers in several zones, without a
 * network: which requests leave their zone, wait, or reach a full server. Routers see their own
 * requests and the load that answers report.
 */
export interface ZonePattern {
  readonly name: string;
  readonly seconds: number;
  /** Servers of each zone; two neighbouring zones make a region. */
  readonly servers: readonly number[];
  /** Requests per second of a zone's callers. */
  perSecond(zone: number, nowMs: number): number;
  /** Whether a zone's servers run. */
  isAlive(zone: number, nowMs: number): boolean;
  /**
   * When a server starts, in milliseconds, by its index in its zone; it is slow during its warm-up.
   */
  startsAt(zone: number, index: number): number;
}

/** Choice of servers by the product, at random among all, or only within the zone. */
export type ZonePolicy = 'product' | 'anywhere' | 'own zone';

/** Numbers of requests by result, and by where they were sent. */
export interface ZoneOutcome {
  sent: number;
  inTime: number;
  /** Requests whose server was full and reset the connection, or did not run. */
  failed: number;
  leftZone: number;
  leftRegion: number;
  /** Requests that left their zone in the last quarter of the simulation. */
  leftZoneLate: number;
  /** Requests that the servers of each zone ran. */
  readonly byZone: number[];
  /** Requests that servers with a later start ran. */
  joined: number;
}

const OBJECTIVE_MS = 400;
const WORK_MS = 90;
const SLOTS = 3;
/** Longest queue of a server; it resets connections beyond. */
const MAX_QUEUE = 12;
const ROUTERS_PER_ZONE = 2;
/**
 * Distance penalty of servers in the own zone, the own region, and elsewhere, in latency
 * objectives.
 */
const DISTANCES = [0, 0.1, 0.5] as const;
/** One-way network delay within a zone, between zones and between regions, in milliseconds. */
const NETWORK_MS = [1, 2, 21] as const;
const WARM_UP_MS = 3_000;
/** Factor of the service time during the warm-up. */
const WARM_UP_FACTOR = 2;
/** Delay until routers know that a server started or ended, in milliseconds. */
const REGISTRY_DELAY_MS = 1_000;

interface SimulatedServer {
  readonly zone: number;
  readonly startsAt: number;
  running: number;
  readonly queue: (() => void)[];
}

const stepsBetween = (a: number, b: number): 0 | 1 | 2 => (a === b ? 0 : a >> 1 === b >> 1 ? 1 : 2);

/** Runs a pattern; equal seeds give equal outcomes. */
export function simulateZones(pattern: ZonePattern, policy: ZonePolicy, seed: number): ZoneOutcome {
  const random = createRandom(seed);
  const draw = () => random.next();
  const events = createEventQueue();
  const servers = pattern.servers.flatMap((count, zone) =>
    Array.from({ length: count }, (_, index): SimulatedServer => {
      return { zone, startsAt: pattern.startsAt(zone, index), running: 0, queue: [] };
    }),
  );
  const zones = pattern.servers.length;
  const routers = Array.from({ length: zones * ROUTERS_PER_ZONE }, (_, it) => ({
    zone: it % zones,
    loads: servers.map(() => createServerLoad(SLOTS, () => WORK_MS)),
  }));
  const outcome: ZoneOutcome = {
    sent: 0,
    inTime: 0,
    failed: 0,
    leftZone: 0,
    leftRegion: 0,
    leftZoneLate: 0,
    byZone: pattern.servers.map(() => 0),
    joined: 0,
  };
  let now = 0;
  const after = (ms: number, run: () => void) => {
    events.add(now + ms, run);
  };

  const isUp = (server: SimulatedServer, at: number) =>
    at >= server.startsAt && pattern.isAlive(server.zone, at);

  /** Whether routers know the server; those that run from the start are known from the start. */
  const isKnown = (server: SimulatedServer) =>
    isUp(
      server,
      server.startsAt === 0 ? Math.max(0, now - REGISTRY_DELAY_MS) : now - REGISTRY_DELAY_MS,
    );

  function candidateOf(id: number, zone: number, load: ServerLoad): ServerCandidate {
    const server = servers[id];
    const steps = stepsBetween(zone, server?.zone ?? 0);
    const warmUpLeftMs = (server?.startsAt ?? 0) + WARM_UP_MS - now;
    return {
      id: String(id),
      ...loadStateOf(load, now),
      distance: DISTANCES[steps],
      warmUpRemaining: server?.startsAt !== 0 && warmUpLeftMs > 0 ? warmUpLeftMs / WARM_UP_MS : 0,
    };
  }

  function choose({ zone, loads }: (typeof routers)[number]): ServerCandidate | undefined {
    const known = loads
      .map((load, id) => candidateOf(id, zone, load))
      .filter((_, id) => {
        const server = servers[id];
        return server !== undefined && isKnown(server);
      });
    const near = known.filter((it) => it.distance === 0);
    if (policy === 'anywhere') return known[Math.floor(draw() * known.length)];
    const candidates = policy === 'own zone' && near.length > 0 ? near : known;
    return chooseServer(candidates, { objectiveMs: OBJECTIVE_MS, random: draw });
  }

  function serve(server: SimulatedServer, done: () => void): void {
    server.running += 1;
    const isWarmingUp = server.startsAt > 0 && now < server.startsAt + WARM_UP_MS;
    after(WORK_MS * (isWarmingUp ? WARM_UP_FACTOR : 1) * (0.4 + 1.2 * draw()), () => {
      server.running -= 1;
      done();
      server.queue.shift()?.();
    });
  }

  function recordRoute(zone: number, server: SimulatedServer): void {
    const steps = stepsBetween(zone, server.zone);
    if (steps > 0) outcome.leftZone += 1;
    if (steps > 0 && now > pattern.seconds * 750) outcome.leftZoneLate += 1;
    if (steps > 1) outcome.leftRegion += 1;
  }

  function arrive(router: (typeof routers)[number]): void {
    outcome.sent += 1;
    const candidate = choose(router);
    const id = Number(candidate?.id);
    const server = servers[id];
    const load = router.loads[id];
    if (!candidate || !server || !load) {
      outcome.failed += 1;
      return;
    }
    const sentAt = now;
    const serviceTimes = expectedServiceTimes(candidate);
    const networkMs = NETWORK_MS[stepsBetween(router.zone, server.zone)];
    recordRoute(router.zone, server);
    load.recordSent(sentAt);
    const answered = (failed: boolean) => {
      load.recordDone(sentAt, failed);
      if (failed) outcome.failed += 1;
      else if (candidate.warmUpRemaining === 0) load.recordLatency(serviceTimes, now - sentAt);
      load.recordReport(now, {
        running: server.running,
        waiting: server.queue.length,
        slots: SLOTS,
        slowdown: 1,
      });
    };
    after(networkMs, () => {
      if (!isUp(server, now) || server.queue.length >= MAX_QUEUE) {
        after(networkMs, () => {
          answered(true);
        });
        return;
      }
      const begin = () => {
        serve(server, () => {
          outcome.byZone[server.zone] = (outcome.byZone[server.zone] ?? 0) + 1;
          if (server.startsAt > 0) outcome.joined += 1;
          after(networkMs, () => {
            answered(false);
            if (now - sentAt <= OBJECTIVE_MS) outcome.inTime += 1;
          });
        });
      };
      if (server.running < SLOTS) begin();
      else server.queue.push(begin);
    });
  }

  function scheduleArrival(zone: number): void {
    after((-Math.log(1 - draw()) * 1_000) / pattern.perSecond(zone, now), () => {
      const own = routers.filter((it) => it.zone === zone);
      const router = own[Math.floor(draw() * own.length)];
      if (router) arrive(router);
      scheduleArrival(zone);
    });
  }

  for (let zone = 0; zone < zones; zone += 1) scheduleArrival(zone);
  for (let event = events.take(); event; event = events.take()) {
    now = event.at;
    if (now > pattern.seconds * 1_000) break;
    event.run();
  }
  return outcome;
}
