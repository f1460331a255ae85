import type { Mutation } from '../model/rules.js';

/** The intent row of one idempotency key. */
export interface IntentRow {
  readonly phase: 'absent' | 'pending' | 'done';
  /** Attempt that wrote the row, -1 without a row. */
  readonly writer: number;
}

/** A write that may land late or never; its answer may stay unheard. */
export type WritePhase = 'none' | 'in flight' | 'applied' | 'refused';

/** The dispatch to the backend server, which may act on it late or never. */
export type DispatchPhase = 'none' | 'in flight' | 'ran' | 'refused';

/** What the caller was told. */
export type Answer = 'none' | 'server answer' | 'not run' | 'unknown';

/** One arrival of the request at a keeper; later attempts are the caller's repeats. */
export interface Attempt {
  readonly phase: 'not arrived' | 'writing' | 'ready' | 'dispatched' | 'ended';
  readonly intent: WritePhase;
  /** A second copy of the intent, sent when the first one met silence. */
  readonly intentCopy: 'none' | 'in flight' | 'ended';
  readonly dispatch: DispatchPhase;
  /** Dispatches that were given up without proof and may still run. */
  readonly abandonedDispatches: number;
  /** Write of the outcome: the answer, or that the row may go since nothing ran. */
  readonly outcome: 'none' | 'answer' | 'removal';
  readonly runs: number;
  readonly answer: Answer;
}

/** One non-idempotent request under one idempotency key. */
export interface RequestState {
  readonly row: IntentRow;
  readonly attempts: readonly Attempt[];
}

/** Bounds of the configuration, and the rule that is removed. */
export interface RequestOptions {
  readonly mutation: Mutation | undefined;
  readonly attempts: number;
}

/** Attempt that has not arrived yet. @internal */
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
