import type { ReportedLoad } from '@boragepoint/platform';

/** Weight of one report of others' requests in a moving average. */
const SAMPLE_WEIGHT = 0.2;
/** Least weight of one measured time; the first ones weigh more. */
const SERVICE_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 250;
/** The initial time counts as much as this many measured ones. */
const ASSUMED_REQUESTS = 2;
/** Weight of one answer in the delay factor, and the factor's bounds. */
const DELAY_WEIGHT = 0.12;
const MIN_DELAY_FACTOR = 0.8;
const MAX_DELAY_FACTOR = 3;
/** Weight of one outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;
/** What other routers keep at the server is believed less the older the report is, in service times. */
const REPORT_LIFE = 2;
/** What others usually keep there is forgotten over this time without a report, in milliseconds. */
const USUAL_LIFE_MS = 3_000;

/** What one router knows of a backend server's load, from its own requests and from answers. */
export interface ServerLoad {
  /** A request is sent. */
  sent(now: number): void;
  /**
   * A request that was sent at `sentAt` is over. `latencyMs` is missing when it was not answered in full, and `failed` when the
   * outcome says nothing about the server.
   */
  done(sentAt: number, latencyMs: number | undefined, failed?: boolean): void;
  /** An answer shows a queue: requests on their way may have waited in it. For before `done`. */
  noteQueue(load: ReportedLoad): void;
  /** Takes what an answer says of the load. For after `done`. */
  reported(now: number, load: ReportedLoad): void;
  /** How long the oldest own request has been on its way, in milliseconds; 0 without any. */
  oldestMs(now: number): number;
  /** Own requests on their way. */
  inFlight(): number;
  /** Requests that the server is thought to have in hand, of all routers. */
  inHand(now: number): number;
  /** An answer took `latencyMs`, or longer if it was not waited for, where the queue explained `queuedMs`. */
  noteDelay(queuedMs: number, latencyMs: number): void;
  /** How much longer answers took lately than their queues explained. */
  delayFactor(): number;
  /** Time that a request takes without queueing, in milliseconds. */
  serviceMs(): number;
  slots(): number;
  /** Share of requests that failed or were shed, lately. */
  failureShare(): number;
  /**
   * For the report to the placement leader: outcomes since the last call, and the time of a request without
   * queueing as it is known now, 0 if it is not. A server that is never idle shows it by its delays.
   */
  takeMeasured(): { serviceMs: number; answered: number; failed: number };
}

/** Creates the load of a server of which nothing is known but its slots. */
export function createServerLoad(initialSlots: number): ServerLoad {
  let slots = initialSlots;
  /** When the own requests on their way were sent, in order. */
  const sentTimes: number[] = [];
  let serviceMs = INITIAL_SERVICE_MS;
  let measuredTimes = 0;
  let failures = 0;
  let othersMean = 0;
  let others = 0;
  let othersAt = -Infinity;
  let measured = { answered: 0, failed: 0 };
  /** Own requests that began when the server seemed to have a free slot, and since no queue was seen. */
  let unqueued = 0;

  /** Moving averages of what was explained and of what was measured; their quotient weighs long waits most. */
  let delay: { queuedMs: number; latencyMs: number } | undefined;

  function othersNow(now: number): number {
    const age = now - othersAt;
    const trust = Math.exp(-age / (REPORT_LIFE * serviceMs));
    const usual = othersMean * Math.exp(-age / USUAL_LIFE_MS);
    return usual + (others - usual) * trust;
  }

  function inHand(now: number): number {
    return sentTimes.length + Math.max(0, othersNow(now));
  }

  function delayFactor(): number {
    if (!delay) return 1;
    const factor = delay.latencyMs / delay.queuedMs;
    return Math.min(MAX_DELAY_FACTOR, Math.max(MIN_DELAY_FACTOR, factor));
  }

  return {
    sent(now) {
      if (inHand(now) < slots) unqueued += 1;
      sentTimes.push(now);
    },
    done(sentAt, latencyMs, failed) {
      sentTimes.splice(sentTimes.indexOf(sentAt), 1);
      if (failed !== undefined) {
        failures += ((failed ? 1 : 0) - failures) * OUTCOME_WEIGHT;
        if (failed) measured.failed += 1;
        else measured.answered += 1;
      }
      if (latencyMs === undefined || unqueued === 0) return;
      unqueued -= 1;
      measuredTimes += 1;
      const weight = Math.max(SERVICE_WEIGHT, 1 / (measuredTimes + ASSUMED_REQUESTS));
      serviceMs += (latencyMs - serviceMs) * weight;
    },
    noteQueue(load) {
      if (load.waiting > 0) unqueued = 0;
    },
    reported(now, load) {
      if (load.slots > 0) slots = load.slots;
      others = Math.max(0, load.running + load.waiting - sentTimes.length);
      othersMean += (others - othersMean) * SAMPLE_WEIGHT;
      othersAt = now;
    },
    noteDelay(queuedMs, latencyMs) {
      delay ??= { queuedMs, latencyMs: queuedMs };
      delay.queuedMs += (queuedMs - delay.queuedMs) * DELAY_WEIGHT;
      delay.latencyMs += (latencyMs - delay.latencyMs) * DELAY_WEIGHT;
    },
    delayFactor,
    oldestMs: (now) => now - (sentTimes[0] ?? now),
    inFlight: () => sentTimes.length,
    inHand,
    serviceMs: () => serviceMs,
    slots: () => slots,
    failureShare: () => failures,
    takeMeasured() {
      const known = measuredTimes > 0 ? serviceMs * delayFactor() : 0;
      const taken = { serviceMs: known, ...measured };
      measured = { answered: 0, failed: 0 };
      return taken;
    },
  };
}
