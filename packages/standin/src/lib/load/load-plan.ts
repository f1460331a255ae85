import type { KeyPlan } from './key-picker.js';

/** One kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path after the service's name; `{key}` is replaced by the key. */
  readonly path: string;
  readonly idempotent: boolean;
  /** Weight of this kind relative to all kinds. */
  readonly share: number;
  /** Share of requests that are sent once more after their last attempt, even if it succeeded. */
  readonly repeatShare?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An open-loop load: requests are sent at their due times, however long answers take. */
export interface LoadPlan {
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Number of requests, without retries and repeats. */
  readonly requests: number;
  readonly kinds: readonly RequestKind[];
  readonly keys: KeyPlan;
  /** Caller names, sent in the header `bp-caller`. */
  readonly callers: readonly string[];
  /** Returns the addresses of the routers to which requests are sent now. */
  readonly routers: () => readonly string[];
  /** Timeout of each attempt, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum number of attempts per request, including the first. */
  readonly maxAttempts: number;
  /** Delay before each retry, in milliseconds. */
  readonly retryAfterMs: number;
  /** Maximum number of connections to one router. */
  readonly connections?: number;
}

/** One attempt of a request, as its caller saw it. */
export interface AttemptRecord {
  readonly kind: string;
  readonly service: string;
  readonly caller: string;
  readonly router: string;
  readonly key: string;
  /** Sequence number of the request in its load. */
  readonly request: number;
  readonly attempt: number;
  readonly idempotencyKey?: string;
  /** Request id assigned by the router; empty when there was no answer. */
  readonly requestId: string;
  /** Monotonic time at which the attempt ended, in milliseconds. */
  readonly at: number;
  /** Time from the attempt's due time to its end, in milliseconds. */
  readonly latencyMs: number;
  /** HTTP status; 0 when no complete answer arrived. */
  readonly status: number;
  /** Result code; -1 when no complete answer arrived or an error answer had none. */
  readonly code: number;
  /** Id of the backend server that ran it; empty when the answer does not name one. */
  readonly server: string;
  /** True when the answer belongs to another request. */
  readonly mismatched: boolean;
}
