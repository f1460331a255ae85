import type { AnswerHeader } from './intent-record.js';

/** A complete answer of a backend server. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: readonly AnswerHeader[];
  readonly body: Uint8Array;
}

/** One non-idempotent request as the ledger sees it. */
export interface LedgerRequest {
  readonly service: string;
  /** The caller's `Idempotency-Key`. */
  readonly idempotencyKey: string;
  /** Hash of service, method, path and body. */
  readonly fingerprint: string;
  /** Time by which the caller must be answered, in milliseconds of the ledger's monotonic clock. */
  readonly deadlineAt: number;
}

/** Permission to dispatch one request. It ends with `finish`, `notRun` or `unknown`. */
export interface LedgerHandle {
  readonly rowKey: string;
  /** Token of the run, which its record names; each run of a request has its own. */
  readonly runToken: string;
}

/** Why the outcome of an earlier run under the same key is not available. */
export type UnfinishedReason = 'running-here' | 'pending-elsewhere' | 'recorded-unknown';

/** Outcome of `begin`. */
export type BeginOutcome =
  /** The intent is recorded, and the request may be dispatched. */
  | { readonly kind: 'started'; readonly handle: LedgerHandle }
  /** The request ran before; this is its answer. */
  | { readonly kind: 'done'; readonly answer: ServerAnswer }
  /** The request was, or may have been, dispatched before: outcome unknown. */
  | { readonly kind: 'unfinished'; readonly reason: UnfinishedReason }
  /** The key was used for another request. */
  | { readonly kind: 'reused' }
  /** The key is older than the retention time, or its answer is missing: outcome unknown. */
  | { readonly kind: 'expired' }
  /** The key is malformed, or its timestamp is in the future: not run. */
  | { readonly kind: 'bad-key'; readonly message: string }
  /** The intent could not be recorded in time: this attempt did not run and never will. */
  | {
      readonly kind: 'unavailable';
      /** `none` when a read proved that no earlier attempt under the same key was dispatched. */
      readonly earlierAttempt: 'none' | 'not-known';
      readonly retryAfterMs: number;
    };

/** Whether an outcome was recorded in the table. */
export type RecordOutcome = 'recorded' | 'not-recorded';

/** Prevents non-idempotent requests from running twice. */
export interface Ledger extends AsyncDisposable {
  /**
   * Records the intent to run a request, or returns what is known of an earlier run. The request
   * must not be dispatched unless the outcome is `started`.
   */
  begin(req: LedgerRequest): Promise<BeginOutcome>;
  /**
   * Records the answer of a run. Repeats at this instance get it immediately. The promise resolves
   * when the answer is recorded or all retries have failed; callers need not wait for it.
   */
  finish(handle: LedgerHandle, answer: ServerAnswer): Promise<RecordOutcome>;
  /** Records that the request provably did not run, so that a repeat may run it. */
  notRun(handle: LedgerHandle): Promise<RecordOutcome>;
  /** Records that the outcome of a run is unknown; the request is never dispatched again. */
  unknown(handle: LedgerHandle): Promise<RecordOutcome>;
  /** Returns the values for metrics. */
  stats(): LedgerStats;
}

/** Counters since the start, and current numbers. */
export interface LedgerStats {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly rowsQueued: number;
  readonly running: number;
  /** Number of outcomes that are not recorded yet. */
  readonly unrecorded: number;
  /** Number of outcomes that were not recorded after the last retry. */
  readonly recordsLost: number;
  /** Number of records that were written again after the table had forgotten them. */
  readonly recordsRestored: number;
  /** Number of records that the table had forgotten and in whose place another run is recorded. */
  readonly recordsForgotten: number;
}
