import type { Priority } from '@boragepoint/config';

/** Priorities in the order of service. */
export const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

/**
 * Share of dispatches that a priority gets at least while it has requests waiting. `high` has
 * the rest, 75 % when all three wait.
 */
export const GUARANTEED_SHARES: Readonly<Record<Priority, number>> = {
  high: 0.75,
  normal: 0.2,
  low: 0.05,
};

/** Chooses the priority that is served next: the highest, but for the guaranteed shares. @internal */
export class PriorityScheduler {
  readonly #credits: Record<Priority, number> = { high: 0, normal: 0, low: 0 };

  /** Returns the priority to serve, or `undefined` when nothing waits. */
  next(isWaiting: (priority: Priority) => boolean): Priority | undefined {
    const first = PRIORITIES.find(isWaiting);
    if (first === undefined) return undefined;
    const overdue = PRIORITIES.filter((it) => this.#addCredit(it, first, isWaiting(it))).at(-1);
    if (overdue === undefined) return first;
    this.#credits[overdue] -= 1;
    return overdue;
  }

  /** Credits a priority that waits behind the first; true when it is due. */
  #addCredit(priority: Priority, first: Priority, isWaiting: boolean): boolean {
    if (priority === first || !isWaiting) {
      this.#credits[priority] = 0;
      return false;
    }
    this.#credits[priority] += GUARANTEED_SHARES[priority];
    return this.#credits[priority] >= 1;
  }
}
