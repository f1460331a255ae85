import type { Priority } from '@boragepoint/config';

/** Priorities, highest first. */
export const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

/**
 * Minimum share of dispatches that a priority gets while it has waiting requests. `high` gets the
 * rest, which is 75 % when all three have waiting requests.
 */
export const GUARANTEED_SHARES: Readonly<Record<Priority, number>> = {
  high: 0.75,
  normal: 0.2,
  low: 0.05,
};

/**
 * Chooses the priority to serve next: the highest with waiting requests, unless a lower one is due
 * its guaranteed share.
 * @internal
 */
export class PriorityScheduler {
  readonly #credits: Record<Priority, number> = { high: 0, normal: 0, low: 0 };

  /** Returns the priority to serve; `undefined` if nothing is waiting. */
  next(isWaiting: (priority: Priority) => boolean): Priority | undefined {
    const first = PRIORITIES.find(isWaiting);
    if (first === undefined) return undefined;
    const overdue = PRIORITIES.filter((it) => this.#addCredit(it, first, isWaiting(it))).at(-1);
    if (overdue === undefined) return first;
    this.#credits[overdue] -= 1;
    return overdue;
  }

  /** Adds credit to a priority that waits behind the first; returns true if it is due. */
  #addCredit(priority: Priority, first: Priority, isWaiting: boolean): boolean {
    if (priority === first || !isWaiting) {
      this.#credits[priority] = 0;
      return false;
    }
    this.#credits[priority] += GUARANTEED_SHARES[priority];
    return this.#credits[priority] >= 1;
  }
}
