/** What decides whether a request is sent or refused. */
export interface AdmissionInput {
  /** Time until an answer can be expected, in milliseconds. */
  readonly expectedMs: number;
  /** Time until the caller or the route gives up, in milliseconds. */
  readonly remainingMs: number;
  readonly objectiveMs: number;
  /** Time of the request without queueing, in milliseconds. */
  readonly serviceMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The strictest objective of more urgent requests that share the server, `Infinity` without any. */
  readonly urgentObjectiveMs: number;
}

/** Whether a request is sent; a refused one is told when to come back. */
export type Admission =
  { readonly kind: 'send' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Share of the time left that an answer may be expected to take. */
const USABLE_TIME_SHARE = 0.85;
/** Queues are let grow up to this many latency objectives. */
const MAX_QUEUE_OBJECTIVES = 1.6;
/** Less urgent requests leave this share of the queue to each more urgent rank. */
const QUEUE_SHARE_PER_PRIORITY = 0.1;
const MAX_PRIORITY = 4;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 3_000;

/** Refuses a request at once if its answer would come too late to be of use. */
export function admit(input: AdmissionInput): Admission {
  const { expectedMs, remainingMs, objectiveMs, serviceMs, priority, urgentObjectiveMs } = input;
  const rank = Math.min(priority, MAX_PRIORITY);
  const queueLimitMs = objectiveMs * MAX_QUEUE_OBJECTIVES * (1 - QUEUE_SHARE_PER_PRIORITY * rank);
  // Queues are first come, first served: one that the less urgent build is what the more urgent wait in.
  const urgentLimitMs = serviceMs + urgentObjectiveMs;
  const limitMs = Math.min(
    remainingMs * USABLE_TIME_SHARE,
    Math.max(queueLimitMs, serviceMs),
    urgentLimitMs,
  );
  if (expectedMs <= limitMs) return { kind: 'send' };
  const excessMs = expectedMs - Math.min(limitMs, objectiveMs);
  return { kind: 'refuse', retryAfterMs: clampRetryAfterMs(excessMs) };
}

/** Brings a time after which a caller may come back within bounds, in milliseconds. */
export function clampRetryAfterMs(ms: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ms));
}
