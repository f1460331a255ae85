import { MAX_UNQUEUED_SERVICE_TIMES } from './choose-server.js';

/** Inputs to the decision whether a request is sent to a server or refused. */
export interface AdmissionInput {
  /** Expected time to the answer, in milliseconds. */
  readonly expectedMs: number;
  /** Remaining time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly remainingMs: number;
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  /** Service time of the request without queueing, in milliseconds. */
  readonly serviceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Strictest latency objective among more urgent requests to the same service, in milliseconds;
   * `Infinity` if there are none.
   */
  readonly urgentObjectiveMs: number;
}

/** Decision about a request; a refusal carries the `Retry-After` time for the caller. */
export type Admission =
  { readonly kind: 'send' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Share of the remaining time that the expected time to the answer may use. */
const USABLE_TIME_SHARE = 0.85;
/** Longest expected time to the answer at priority 0, in latency objectives. */
const MAX_QUEUE_OBJECTIVES = 1.6;
/** Share of the queue limit by which each priority step lowers a request's own limit. */
const QUEUE_SHARE_PER_PRIORITY = 0.1;
const MAX_PRIORITY = 4;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 3_000;

/** What limits the expected time to an answer. */
export type AdmissionLimitCause = 'time left' | 'objective' | 'more urgent requests';

/** Longest expected time to an answer with which a request is sent, in milliseconds. */
export interface AdmissionLimit {
  readonly limitMs: number;
  readonly cause: AdmissionLimitCause;
}

/** Returns the limit for a request. */
export function admissionLimit(input: Omit<AdmissionInput, 'expectedMs'>): AdmissionLimit {
  const { remainingMs, objectiveMs, serviceMs, priority, urgentObjectiveMs } = input;
  const rank = Math.min(priority, MAX_PRIORITY);
  const queueLimitMs = objectiveMs * MAX_QUEUE_OBJECTIVES * (1 - QUEUE_SHARE_PER_PRIORITY * rank);
  const limits: readonly AdmissionLimit[] = [
    { cause: 'time left', limitMs: remainingMs * USABLE_TIME_SHARE },
    // A request whose work takes longer than its objective is late in any case, and waits for no
    // other one while a slot is free.
    {
      cause: 'objective',
      limitMs: Math.max(queueLimitMs, serviceMs * MAX_UNQUEUED_SERVICE_TIMES),
    },
    // Server queues are FIFO, so more urgent requests wait behind the less urgent ones admitted
    // before.
    { cause: 'more urgent requests', limitMs: serviceMs + urgentObjectiveMs },
  ];
  return limits.reduce((least, it) => (it.limitMs < least.limitMs ? it : least));
}

/** Refuses a request at once if its answer is expected too late to be of use. */
export function admit(input: AdmissionInput): Admission {
  const { expectedMs, objectiveMs } = input;
  const { limitMs } = admissionLimit(input);
  if (expectedMs <= limitMs) return { kind: 'send' };
  const excessMs = expectedMs - Math.min(limitMs, objectiveMs);
  return { kind: 'refuse', retryAfterMs: clampRetryAfterMs(excessMs) };
}

/** Clamps a `Retry-After` time to its bounds, in milliseconds. */
export function clampRetryAfterMs(ms: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
}
