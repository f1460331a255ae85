import {
  MAX_JOINS_PER_PLAN,
  NEVER_COLD,
  type PlannerContext,
  createOwnerAdmission,
  createRangeTable,
  createServicePlanner,
  findRange,
  joinUnderNewFence,
} from '@boragepoint/placement';
import { createRandom } from '@boragepoint/standin';

import { admit } from '../lib/admission.js';
import { expectedAnswerMs } from '../lib/choose-server.js';
import { refusalChance } from '../lib/refusal-chance.js';
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

/** A partitioned service under load; the routers' and the leader's decisions are the product's. */
export interface KeyedLoad {
  readonly seconds: number;
  readonly routers: number;
  readonly servers: number;
  readonly perSecond: number;
  readonly workMs: number;
  /** Lasting speed of a server. */
  speed(server: number): number;
  /** Whether servers drop to a third of their speed for some tenths of a second. */
  readonly slowdowns: boolean;
  /** Share of the requests that 200 adjacent keys receive. */
  hotShare(nowMs: number): number;
  /** Deadlines of the requests; without them all are sent, whatever their queue. */
  readonly deadlines?: Deadlines;
}

/** Deadlines of requests, which are refused where their answers are expected too late. */
export interface Deadlines {
  readonly usualMs: number;
  /** Deadline of a small share of the requests. */
  readonly shortMs: number;
  readonly shortShare: number;
  /** How often a caller with the usual deadline comes back after a refusal. */
  readonly retries: number;
}

/** Result of a second. */
export interface KeyedSecond {
  readonly sent: number;
  /** Share of the requests that were answered within the objective. */
  readonly inTime: number;
  /** Utilization of the busiest server by the true rates and speeds, as a multiple of the mean. */
  readonly imbalance: number;
  readonly moves: number;
  readonly keysMoved: number;
  /** Longest time of a plan, in milliseconds of the processor. */
  readonly planMs: number;
  readonly ranges: number;
  /** Shares of the requests that were answered within their deadlines. */
  readonly usualServed: number;
  readonly shortServed: number;
}

const KEYS = 65_536;
const FIRST_HOT_KEY = 20_000;
const HOT_KEYS = 200;
const SLOTS = 6;
const MAX_QUEUE = 24;
const OBJECTIVE_MS = 1_033;
const REPORT_MS = 750;
/** Shortest time after which a refused caller comes back, in milliseconds. */
const RETRY_AFTER_MS = 500;
const PLAN_MS = 500;
/** Time for which a range has no owner while it moves, in milliseconds. */
const HAND_OVER_MS = 50;

/** Returns the mean of a figure over some seconds. */
export const meanOfSeconds = (
  seconds: readonly KeyedSecond[],
  figureOf: (second: KeyedSecond) => number,
) => seconds.reduce((sum, it) => sum + figureOf(it), 0) / seconds.length;

/** Share of all keys' requests below a key, without hot keys: low keys are asked for more often. */
const shareBelow = (key: number) => (key / KEYS) ** (1 / 1.5);

/** Simulates a service whose ranges are placed by the product; equal seeds give equal results. */
export function simulateKeys(load: KeyedLoad, seed: number): KeyedSecond[] {
  const random = createRandom(seed);
  const draw = () => random.next();
  const events = createEventQueue();
  let now = 0;
  let fence = 0;
  const ids = Array.from({ length: load.servers }, (_, it) => it);
  const servers = ids.map((id) =>
    createSimulatedServer({
      slots: SLOTS,
      maxQueue: MAX_QUEUE,
      speed: load.speed(id),
      slowdowns: load.slowdowns ? slowdownStarts(load.seconds, draw) : [],
    }),
  );
  const routers = Array.from({ length: load.routers }, () =>
    startSimulatedRouter(load.servers, SLOTS, () => now),
  );
  const table = createRangeTable(load.servers * 2);
  const entries = ids.map((id) => ({
    entry: {
      id: String(id),
      service: 's',
      address: '',
      availabilityZone: 'z',
      slots: SLOTS,
      draining: false,
      warmUpMs: 0,
      startedMs: 1,
      heartbeat: 0,
    },
    stateSince: -Infinity,
    cold: NEVER_COLD,
    heartbeatAt: -Infinity,
  }));
  const ctx: PlannerContext = {
    directory: { ofService: () => entries, get: () => undefined },
    health: { hasEnded: () => false, isUnresponsive: () => false },
    clocks: { monotonic: () => now, timeOfDay: () => now },
    inheritedUntil: () => -Infinity,
    limitOf: () => undefined,
    mayOwnKeys: () => true,
    nextFence: () => (fence += 1),
  };
  const planner = createServicePlanner(ctx);
  const admission = createOwnerAdmission({
    epoch: 1,
    planner,
    log: { info: () => undefined, warn: () => undefined },
    formerShare: () => 1,
    objectiveMsOf: () => OBJECTIVE_MS,
    routers: () => load.routers,
    now: () => now,
  });
  const seconds: KeyedSecond[] = [];
  const emptySecond = () => ({
    sent: 0,
    inTime: 0,
    moves: 0,
    keysMoved: 0,
    planMs: 0,
    usual: { sent: 0, served: 0 },
    short: { sent: 0, served: 0 },
  });
  let second = emptySecond();

  const after = (ms: number, run: () => void) => {
    events.add(now + ms, run);
  };
  const simulation = { now: () => now, after, draw };

  /** Returns whether the router sends a request to the owner of its key. */
  function isAdmitted(
    { servers: known, admitted, routeTimes }: SimulatedRouter,
    id: number,
    deadlineAt: number,
  ): boolean {
    const server = known[id]?.load;
    if (!load.deadlines || !server) return true;
    const chance = refusalChance({
      refusedShare: 1 - admitted.shareOf(String(id)),
      remainingMs: deadlineAt - now,
      objectiveMs: OBJECTIVE_MS,
      hasMoreUrgent: false,
    });
    if (draw() < chance) return false;
    const state = { ...loadStateOf(server, now), warmUpRemaining: 0 };
    const routeMs = routeTimes.routeServiceMs(SIMULATED_ROUTE, state.serviceMs);
    const decision = admit({
      expectedMs: expectedAnswerMs(state, routeMs),
      remainingMs: deadlineAt - now,
      objectiveMs: OBJECTIVE_MS,
      serviceMs: routeMs,
      priority: 0,
      urgentObjectiveMs: Infinity,
    });
    return decision.kind === 'send';
  }

  /** Runs a request at the time at which its range has an owner. */
  function run(
    router: SimulatedRouter,
    key: number,
    arrivedAt: number,
    isShort: boolean,
    retries: number,
  ): void {
    const { usualMs = Infinity, shortMs = Infinity } = load.deadlines ?? {};
    const deadlineMs = isShort ? shortMs : usualMs;
    const range = findRange(table.ranges, key);
    if (range?.busy !== false || !range.owner) {
      if (now - arrivedAt < OBJECTIVE_MS) after(10, () => { run(router, key, arrivedAt, isShort, retries); }); // prettier-ignore
      return;
    }
    const id = Number(range.owner.incarnation.server);
    const [server, known] = [servers[id], router.servers[id]];
    if (!server || !known) return;
    if (!isAdmitted(router, id, arrivedAt + deadlineMs)) {
      const backInMs = RETRY_AFTER_MS * (1 + draw());
      const comesBack = retries > 0 && !isShort && now + backInMs < arrivedAt + deadlineMs;
      if (comesBack) after(backInMs, () => { run(router, key, arrivedAt, isShort, retries - 1); }); // prettier-ignore
      return;
    }
    const onAnswer = () => {
      if (now - arrivedAt <= OBJECTIVE_MS) second.inTime += 1;
      if (now - arrivedAt <= deadlineMs) second[isShort ? 'short' : 'usual'].served += 1;
    };
    const serviceMs = known.load.serviceMs();
    sendSimulated({ router, id, server, serviceMs, workMs: load.workMs, onAnswer }, simulation);
  }

  function arrive(): void {
    after((-Math.log(1 - random.next()) * 1_000) / load.perSecond, () => {
      const isHot = random.next() < load.hotShare(now);
      const position = random.next();
      const key = Math.floor(isHot ? FIRST_HOT_KEY + position * HOT_KEYS : position ** 1.5 * KEYS);
      const router = routers[random.below(routers.length)];
      router?.keys.push(key);
      second.sent += 1;
      const isShort = load.deadlines !== undefined && draw() < load.deadlines.shortShare;
      second[isShort ? 'short' : 'usual'].sent += 1;
      if (router) run(router, key, now, isShort, load.deadlines?.retries ?? 0);
      arrive();
    });
  }

  function report(router: SimulatedRouter): void {
    const measured = router.servers
      .map(({ load: known }, id) => ({ server: String(id), ...known.takeMeasured() }))
      .filter((it) => it.units + it.failed > 0);
    planner.record({ service: 's', keys: router.keys, servers: measured });
    router.keys = [];
    const { shares } = admission;
    router.admitted.apply({
      epoch: 1,
      shares: shares.all(),
      change: shares.change(),
      isComplete: true,
    });
    after(REPORT_MS, () => { report(router); }); // prettier-ignore
  }

  function plan(): void {
    const startedAt = process.cpuUsage();
    const joined = joinUnderNewFence(table, MAX_JOINS_PER_PLAN, ctx.nextFence);
    const moved = planner.plan('s', table, true);
    if (load.deadlines) admission.update(new Map([['s', table]]));
    const used = process.cpuUsage(startedAt);
    second.planMs = Math.max(second.planMs, (used.user + used.system) / 1_000);
    second.moves += moved.length;
    for (const range of moved) second.keysMoved += range.last - range.first + 1;
    for (const range of joined) range.busy = false;
    after(HAND_OVER_MS, () => {
      for (const range of moved)
        Object.assign(range, { granted: true, busy: false, former: [], grantedAt: now });
    });
    after(PLAN_MS, plan);
  }

  /** Utilization of the busiest server as a multiple of the mean. */
  function imbalance(): number {
    const rates = ids.map(() => 0);
    const hot = load.hotShare(now);
    for (const { first, last, owner } of table.ranges) {
      const hotKeys = Math.min(last + 1, FIRST_HOT_KEY + HOT_KEYS) - Math.max(first, FIRST_HOT_KEY);
      const share =
        (shareBelow(last + 1) - shareBelow(first)) * (1 - hot) +
        (Math.max(0, hotKeys) / HOT_KEYS) * hot;
      const id = Number(owner?.incarnation.server);
      rates[id] = (rates[id] ?? 0) + share;
    }
    const totalSpeed = ids.reduce((sum, it) => sum + load.speed(it), 0);
    return Math.max(...ids.map((it) => ((rates[it] ?? 0) * totalSpeed) / load.speed(it)));
  }

  function endSecond(): void {
    const { sent, inTime, usual, short, ...rest } = second;
    const ranges = table.ranges.length;
    seconds.push({
      ...rest,
      sent,
      inTime: inTime / sent,
      imbalance: imbalance(),
      ranges,
      usualServed: usual.served / usual.sent,
      shortServed: short.served / short.sent,
    });
    second = emptySecond();
    after(1_000, endSecond);
  }

  arrive();
  plan();
  routers.forEach((it, index) => {
    after((index * REPORT_MS) / routers.length, () => { report(it); }); // prettier-ignore
  });
  after(1_000, endSecond);
  for (
    let event = events.take();
    event && event.at <= load.seconds * 1_000;
    event = events.take()
  ) {
    now = event.at;
    event.run();
  }
  return seconds;
}
