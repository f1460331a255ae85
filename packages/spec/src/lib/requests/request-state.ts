import type { Mutation } from '../model/mutations.js';

/** The intent row of one idempotency key. */
export interface IntentRow {
  readonly phase: 'absent' | 'pending' | 'done';
  /** Attempt that wrote the row, -1 without a row. */
  readonly writer: number;
}

/** Phase of a write, which may take effect late or never; its answer may be lost. */
export type WritePhase = 'none' | 'in flight' | 'applied' | 'refused';

/** Phase of a dispatch to the backend server, which may run the request late or never. */
export type DispatchPhase = 'none' | 'in flight' | 'ran' | 'refused';

/** Answer that the caller received. */
export type Answer = 'none' | 'server answer' | 'not run' | 'unknown';

/** An arrival of the request at a keeper; later attempts are repeats by the caller. */
export interface Attempt {
  readonly phase: 'not arrived' | 'writing' | 'ready' | 'dispatched' | 'ended';
  readonly intent: WritePhase;
  /** A second copy of the write of the intent, sent while the first one is unanswered. */
  readonly intentCopy: 'none' | 'in flight' | 'ended';
  readonly dispatch: DispatchPhase;
  /** Number of dispatches given up without proof that they were not run; they may still run. */
  readonly abandonedDispatches: number;
  /** The attempt's last write: the answer, or the removal of the row since nothing ran. */
  readonly outcome: 'none' | 'answer' | 'removal';
  /** Number of times that the request ran. */
  readonly runs: number;
  readonly answer: Answer;
}

/** State of the model: one non-idempotent request under one idempotency key. */
export interface RequestState {
  readonly row: IntentRow;
  readonly attempts: readonly Attempt[];
}

/** Bounds of the exploration, and the rule that is removed, if any. */
export interface RequestOptions {
  readonly mutation: Mutation | undefined;
  readonly attempts: number;
}

/** An attempt that has not arrived yet. @internal */
export const NOT_ARRIVED: Attempt = {
  phase: 'not arrived',
  intent: 'none',
  intentCopy: 'none',
  dispatch: 'none',
  abandonedDispatches: 0,
  outcome: 'none',
  runs: 0,
  answer: 'none',
};
