import type { KeyPlan } from './key-picker.js';

/** One kind of request. */
export interface RequestKind {
  readonly name: string;
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  /** Path after the service's name; `{key}` stands for the key. */
  readonly path: string;
  readonly idempotent: boolean;
  /** Weight among all kinds. */
  readonly share: number;
  /** Share of non-idempotent requests that are sent again although they were answered. */
  readonly repeatShare?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** An open-loop load: requests are sent at their times, however long answers take. */
export interface LoadPlan {
  readonly seed: number;
  readonly ratePerSecond: number;
  /** Requests in all, repeats and retries not counted. */
  readonly requests: number;
  readonly kinds: readonly RequestKind[];
  readonly keys: KeyPlan;
  /** Names of callers, as in the header `bp-caller`. */
  readonly callers: readonly string[];
  /** Addresses of the routers that can be reached now. */
  readonly routers: () => readonly string[];
  /** Time after which a caller gives an attempt up, in milliseconds. */
  readonly timeoutMs: number;
  /** Most attempts at one request, the first included. */
  readonly maxAttempts: number;
  /** Time between two attempts, in milliseconds. */
  readonly retryAfterMs: number;
  /** Most connections to one router. */
  readonly connections?: number;
}

/** One attempt at a request as its caller saw it. */
export interface AttemptRecord {
  readonly kind: string;
  readonly service: string;
  readonly caller: string;
  readonly router: string;
  readonly key: string;
  /** Number of the request in its load. */
  readonly request: number;
  readonly attempt: number;
  readonly idempotencyKey?: string;
  /** Request id that the router gave; empty when there was no answer. */
  readonly requestId: string;
  /** Monotonic time of the host when the answer was whole, in milliseconds. */
  readonly at: number;
  /** Time from when the attempt was due, in milliseconds. */
  readonly latencyMs: number;
  /** HTTP status; 0 when no whole answer arrived. */
  readonly status: number;
  /** Result code; -1 when no whole answer arrived. */
  readonly code: number;
  /** Id of the backend server that ran it, where the answer says so. */
  readonly server: string;
  /** True when the answer belongs to another request. */
  readonly mismatched: boolean;
}
