import type { OrderOutcome } from '@boragepoint/platform';

import type { StepDownAnswer } from './step-down-answer.js';

declare const proof: unique symbol;

/** One run of a process. */
export interface Life {
  /** Id of the server or router. */
  readonly id: string;
  readonly address: string;
  /** Start of the process, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
}

/**
 * Shows that a process has ended. A connection that is refused, reset or silent does not: the path
 * may be cut, also to all routers. Made by the functions of this module only.
 */
export interface EndProof {
  readonly [proof]: true;
  readonly seenBy: 'registry' | 'another process at its address';
  readonly life: Life;
  /**
   * Orders that were settled up to this time can only have reached processes that have ended, on
   * the monotonic clock; `undefined` if a later life may have accepted them.
   */
  readonly ordersUntil: number | undefined;
}

/** Answers of a process other than the one that was asked for. */
export type AnswerOfAnother = Extract<
  OrderOutcome['kind'] | StepDownAnswer['kind'],
  'misdirected' | 'gone'
>;

/** Returns the proof that lies in the answer of another process at a life's address. */
export function endByAnswer(life: Life, _answer: AnswerOfAnother, askedAt: number): EndProof {
  return { seenBy: 'another process at its address', life, ordersUntil: askedAt } as EndProof;
}

/**
 * Returns the proof that lies in a later start of the same id; `undefined` if there is none. At the
 * same address, the later life accepts orders that were meant for the former one.
 */
export function endByStart(life: Life, seen: Life): EndProof | undefined {
  if (seen.id !== life.id || seen.startedMs <= life.startedMs) return undefined;
  const ordersUntil = seen.address === life.address ? undefined : Infinity;
  return { seenBy: 'registry', life, ordersUntil } as EndProof;
}
