import type { ReportedLoad } from '@boragepoint/platform';

import { endOfWork, slowdownAt } from './momentary-slowdowns.js';

/** One way between a router and a server, in milliseconds. */
export const NETWORK_MS = 3;
const TAIL_SHARE = 0.01;
const TAIL_FACTOR = 4;

/** Properties of a simulated server. */
export interface SimulatedServerOptions {
  readonly slots: number;
  /** Requests that wait for a slot; further ones are not taken. */
  readonly maxQueue: number;
  readonly speed: number;
  /** Starts of the momentary slowdowns, in milliseconds. */
  readonly slowdowns: readonly number[];
}

/** A server that runs requests in the order in which they arrive. */
export interface SimulatedServer {
  /** Takes a request; returns when it has run, or `undefined` if the queue is full. */
  take(now: number, workMs: number): number | undefined;
  /** Notes that a request has run; returns the load that its answer reports. */
  end(now: number): ReportedLoad;
}

/** Draws the work of a request at a server of speed 1, in milliseconds. */
export function drawWorkMs(meanMs: number, draw: () => number): number {
  const tail = draw() < TAIL_SHARE ? TAIL_FACTOR : 1;
  return meanMs * (0.7 + 0.6 * draw()) * tail;
}

/** Creates an idle server. */
export function createSimulatedServer(options: SimulatedServerOptions): SimulatedServer {
  const { slots, maxQueue, speed, slowdowns } = options;
  const freeAt = new Array<number>(slots).fill(0);
  let inFlight = 0;
  return {
    take(now, workMs) {
      if (inFlight >= slots + maxQueue) return undefined;
      inFlight += 1;
      const slot = freeAt.indexOf(Math.min(...freeAt));
      const startAt = Math.max(now, freeAt[slot] ?? 0) + NETWORK_MS;
      const endAt = endOfWork(slowdowns, startAt, workMs / speed);
      freeAt[slot] = endAt;
      return endAt;
    },
    end(now) {
      inFlight -= 1;
      const running = Math.min(slots, inFlight);
      return { running, waiting: inFlight - running, slots, slowdown: slowdownAt(slowdowns, now) };
    },
  };
}
