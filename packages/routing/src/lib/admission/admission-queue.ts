import type { Priority } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import type { Clock } from './clock.js';
import type { Outcome } from './outcome.js';
import { type RefusalKind, AdmissionRefusal } from './refusal.js';
import type { ServerLimiter, Slot } from './server-limiter.js';
import { type WaitingRequest, WaitingRoom } from './waiting-room.js';

/** A request that asks for admission. */
export interface AdmissionRequest {
  /** Identity that fairness is kept between. */
  readonly caller: string;
  readonly priority: Priority;
  /** Time on the clock by which the caller needs its answer. */
  readonly deadlineAt: number;
  /** Aborted when the caller gives the request up. */
  readonly signal?: AbortSignal | undefined;
}

/** Permission to send one request. Disposing of it without an outcome teaches nothing. */
export interface Permit extends Disposable {
  /** Ends the request; later calls do nothing. */
  release(outcome: Outcome): void;
}

/** Numbers of requests that wait. */
export interface AdmissionQueueState {
  readonly waiting: Readonly<Record<Priority, number>>;
}

/** Queue in front of one backend server. */
export interface AdmissionQueue extends Disposable {
  /** Resolves once the request may be sent, or with a refusal; the request was not run then. */
  admit(req: AdmissionRequest): Promise<Result<Permit, AdmissionRefusal>>;
  /** Admits what a raised limit allows, for example after `setLiveRouters`. */
  dispatch(): void;
  state(): AdmissionQueueState;
}

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  readonly limiter: ServerLimiter;
  /** Most requests that wait. */
  readonly maxWaiting?: number;
}

const DEFAULT_MAX_WAITING = 1_024;
/** Shortest time between two checks for expired requests. */
const MIN_TIMER_MS = 1;
/** Factor on the expected wait that a request must be able to bear when it arrives. */
const WAIT_MARGIN = 1.2;
/** Mean time until the next of the running requests ends, as a share of the time between two. */
const RESIDUAL = 0.5;

/**
 * Creates a bounded queue in front of one backend server. Requests are served by priority, then in
 * turn between callers, then by deadline. A request that can't finish before its deadline is refused
 * when it arrives, or as soon as that becomes certain while it waits. When the queue is
 * full, the caller with most requests waiting gives way.
 */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, limiter, maxWaiting = DEFAULT_MAX_WAITING } = options;
  const room = new WaitingRoom();
  let timer: Disposable | undefined;
  let timerAt = Infinity;
  let closed = false;

  function createPermit(slot: Slot): Permit {
    return {
      release(outcome) {
        slot.release(outcome);
        dispatch();
      },
      [Symbol.dispose]() {
        slot.release();
        dispatch();
      },
    };
  }

  function dispatch(): void {
    while (room.size > 0) {
      const slot = limiter.tryAcquire();
      if (!slot) break;
      const next = room.pop();
      if (next) next.settle(ok(createPermit(slot)));
      else slot.release();
    }
    if (room.size === 0) return;
    const { retryInMs } = limiter.state();
    if (retryInMs > 0) wakeAt(clock.now() + retryInMs);
  }

  function refuse(waiting: WaitingRequest, kind: RefusalKind): void {
    const { waitMs } = estimate(waiting.caller, waiting.priority);
    waiting.settle(err(new AdmissionRefusal(kind, Math.ceil(Math.max(1, waitMs)))));
  }

  /** Wakes the queue at a time, unless it wakes earlier anyway. */
  function wakeAt(at: number): void {
    if (at >= timerAt || closed) return;
    timer?.[Symbol.dispose]();
    timerAt = at;
    timer = clock.schedule(Math.max(MIN_TIMER_MS, at - clock.now()), onTimer);
  }

  function onTimer(): void {
    timerAt = Infinity;
    for (const expired of room.takeExpired(clock.now())) refuse(expired, 'expired');
    dispatch();
    wakeAt(room.nextDropAt());
  }

  /** Expected time until a new request of the caller would be sent, and until its answer. */
  function estimate(caller: string, priority: Priority) {
    const { limit, latencyMs, baselineMs, highLatencyMs, inFlight, retryInMs } = limiter.state();
    const isFree = room.size === 0 && inFlight < limit;
    const ahead = room.aheadOf(caller, priority) + RESIDUAL;
    const waitMs = retryInMs + (isFree ? 0 : (ahead * latencyMs) / limit);
    return { waitMs, highLatencyMs: isFree ? baselineMs : highLatencyMs, inFlight, retryInMs };
  }

  /** Refuses what can't finish in time. With nothing in flight it passes, to measure again. */
  function refusalOnArrival(req: AdmissionRequest): AdmissionRefusal | undefined {
    if (closed) return new AdmissionRefusal('closed');
    if (req.signal?.aborted) return new AdmissionRefusal('cancelled');
    const leftMs = req.deadlineAt - clock.now();
    if (leftMs <= 0) return new AdmissionRefusal('deadline-too-short');
    const { waitMs, highLatencyMs, inFlight, retryInMs } = estimate(req.caller, req.priority);
    const lateMs = waitMs * WAIT_MARGIN + highLatencyMs - leftMs;
    const isProbe = inFlight === 0 && room.size === 0 && retryInMs === 0;
    if (lateMs <= 0 || isProbe) return undefined;
    if (retryInMs > 0) return new AdmissionRefusal('circuit-open', Math.ceil(lateMs));
    if (waitMs === 0) return new AdmissionRefusal('deadline-too-short');
    return new AdmissionRefusal('overloaded', Math.ceil(lateMs));
  }

  /** Makes room for a request when the queue is full; false when it must be refused itself. */
  function makeRoom(req: AdmissionRequest): boolean {
    if (room.size < maxWaiting) return true;
    const victim = room.victimFor(req.caller, req.priority);
    if (!victim) return false;
    room.remove(victim);
    refuse(victim, 'overloaded');
    return true;
  }

  function wait(req: AdmissionRequest): Promise<Result<Permit, AdmissionRefusal>> {
    return new Promise((resolve) => {
      const onAbort = () => {
        room.remove(waiting);
        waiting.settle(err(new AdmissionRefusal('cancelled')));
      };
      const waiting: WaitingRequest = {
        caller: req.caller,
        priority: req.priority,
        dropAt: Math.max(clock.now(), req.deadlineAt - limiter.state().highLatencyMs),
        position: 0,
        settle(result) {
          req.signal?.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      req.signal?.addEventListener('abort', onAbort, { once: true });
      room.push(waiting);
      wakeAt(waiting.dropAt);
      dispatch();
    });
  }

  return {
    async admit(req) {
      const refusal = refusalOnArrival(req);
      if (refusal) return err(refusal);
      const slot = room.size === 0 ? limiter.tryAcquire() : undefined;
      if (slot) return ok(createPermit(slot));
      if (makeRoom(req)) return wait(req);
      const { waitMs } = estimate(req.caller, req.priority);
      return err(new AdmissionRefusal('overloaded', Math.ceil(Math.max(1, waitMs))));
    },
    dispatch,
    state: () => ({ waiting: room.counts() }),
    [Symbol.dispose]() {
      closed = true;
      timer?.[Symbol.dispose]();
      for (const waiting of room.takeExpired(Infinity)) {
        waiting.settle(err(new AdmissionRefusal('closed')));
      }
    },
  };
}
