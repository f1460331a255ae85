import type { StoppedLeader } from './stopped-leader.js';

/**
 * Answer of a former leader that was asked to step down:
 * - `stopped`: it sends no more orders; `unansweredForMs` is the time until its unanswered grants
 *   have expired, `stopped` is what it knew, if it still has that.
 * - `gone`: its process has ended: another one answered at its address.
 * - `refused`: the connection was refused, which does not tell whether its process has ended.
 * - `silent`: it did not answer.
 */
export type StepDownAnswer =
  | {
      readonly kind: 'stopped';
      readonly unansweredForMs: number;
      readonly stopped: StoppedLeader | undefined;
    }
  | { readonly kind: 'gone' | 'refused' | 'silent' };
