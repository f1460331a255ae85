import type { AnswerHeader } from './intent-record.js';

/** A whole answer of a backend server. */
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

/** Permission to dispatch one request; it ends with `finish`, `notRun` or `unknown`. */
export interface LedgerHandle {
  readonly rowKey: string;
  readonly run: string;
}

/** Why the outcome of an earlier run of the same key can't be told. */
export type UnfinishedReason = 'running-here' | 'pending-elsewhere' | 'recorded-unknown';

/** What `begin` found. */
export type BeginOutcome =
  /** The intent is in the table and the request may be dispatched. */
  | { readonly kind: 'started'; readonly handle: LedgerHandle }
  /** It ran before; this is its answer. */
  | { readonly kind: 'done'; readonly answer: ServerAnswer }
  /** It was, or may have been, dispatched before: outcome unknown. */
  | { readonly kind: 'unfinished'; readonly reason: UnfinishedReason }
  /** The key was used for another request. */
  | { readonly kind: 'reused' }
  /** The key is older than the records that are kept, or its answer is gone: outcome unknown. */
  | { readonly kind: 'expired' }
  /** The key is malformed or bears a time in the future: not run. */
  | { readonly kind: 'bad-key'; readonly message: string }
  /** The table did not take the intent in time: this try was not run and never will be. */
  | {
      readonly kind: 'unavailable';
      /** `none` when a read proved that no earlier try under the same key was dispatched. */
      readonly earlierAttempt: 'none' | 'not-known';
      readonly retryAfterMs: number;
    };

/** Whether an outcome reached the table. */
export type RecordOutcome = 'recorded' | 'not-recorded';

/** Keeps non-idempotent requests from being run twice. */
export interface Ledger extends AsyncDisposable {
  /**
   * Records the intent to run a request, or finds what became of it before. Nothing was dispatched
   * unless the outcome is `started`.
   */
  begin(req: LedgerRequest): Promise<BeginOutcome>;
  /**
   * Records the answer of a run. Repeats at this instance get it at once. The promise settles
   * when the answer is in the table or the attempts are used up; callers need not wait for it.
   */
  finish(handle: LedgerHandle, answer: ServerAnswer): Promise<RecordOutcome>;
  /** Records that a run was proved not to have happened, so that a repeat may run. */
  notRun(handle: LedgerHandle): Promise<RecordOutcome>;
  /** Records that the outcome of a run is unknown; the request is never dispatched again. */
  unknown(handle: LedgerHandle): Promise<RecordOutcome>;
  /** Figures for metrics. */
  stats(): LedgerStats;
}

/** Figures since the start, and of the moment. */
export interface LedgerStats {
  readonly transactions: number;
  readonly rowsWritten: number;
  readonly rowsQueued: number;
  readonly running: number;
  /** Outcomes that are not in the table yet. */
  readonly unrecorded: number;
  /** Outcomes given up after the last attempt. */
  readonly recordsLost: number;
}
