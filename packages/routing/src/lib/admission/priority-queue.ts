import type { Priority } from '@boragepoint/config';
import type { Result } from 'neverthrow';

import { type FairItem, FairQueue } from './fair-queue.js';
import type { Permit } from './permit.js';
import { GUARANTEED_SHARES, PRIORITIES, PriorityScheduler } from './priority-scheduler.js';
import type { AdmissionRefusal } from './refusal.js';

/** A request waiting for admission. @internal */
export interface WaitingRequest extends FairItem {
  readonly priority: Priority;
  /** Resolves the request after its removal from the queue. */
  settle(result: Result<Permit, AdmissionRefusal>): void;
}

/** Waiting requests of all priorities, with a fair queue for each. @internal */
export class PriorityQueue {
  readonly #queues: Readonly<Record<Priority, FairQueue<WaitingRequest>>> = {
    high: new FairQueue(),
    normal: new FairQueue(),
    low: new FairQueue(),
  };
  readonly #scheduler = new PriorityScheduler();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** True if no request of this or a higher priority is waiting. */
  isFirst(priority: Priority): boolean {
    const ahead = PRIORITIES.slice(0, PRIORITIES.indexOf(priority) + 1);
    return ahead.every((it) => this.#queues[it].size === 0);
  }

  push(req: WaitingRequest): void {
    this.#queues[req.priority].push(req);
    this.#size += 1;
  }

  pop(): WaitingRequest | undefined {
    const priority = this.#scheduler.next((it) => this.#queues[it].size > 0);
    if (priority === undefined) return undefined;
    this.#size -= 1;
    return this.#queues[priority].pop();
  }

  remove(req: WaitingRequest): void {
    this.#queues[req.priority].remove(req);
    this.#size -= 1;
  }

  /**
   * Estimates the number of requests that are served before a new one: the lower of the numbers
   * that follow from the order of priorities and from the guaranteed share of its priority.
   */
  aheadOf(caller: string, priority: Priority): number {
    const aheadInQueue = this.#queues[priority].aheadOf(caller);
    const higher = PRIORITIES.slice(0, PRIORITIES.indexOf(priority));
    const lower = PRIORITIES.slice(PRIORITIES.indexOf(priority) + 1);
    const inHigherQueues = higher.reduce((sum, it) => sum + this.#queues[it].size, 0);
    const lowerShare = lower
      .filter((it) => this.#queues[it].size > 0)
      .reduce((sum, it) => sum + GUARANTEED_SHARES[it], 0);
    const byPriority = (aheadInQueue + inHigherQueues) / (1 - lowerShare);
    return Math.min(
      byPriority,
      aheadInQueue / GUARANTEED_SHARES[priority] + this.#dispatchesPerTurn(priority),
    );
  }

  /** Returns the request to evict for a new one; `undefined` if the new one must be refused. */
  evictionCandidate(caller: string, priority: Priority): WaitingRequest | undefined {
    const lowest = PRIORITIES.findLast((it) => this.#queues[it].size > 0);
    if (lowest === undefined) return undefined;
    if (PRIORITIES.indexOf(lowest) < PRIORITIES.indexOf(priority)) return undefined;
    const queue = this.#queues[lowest];
    const candidate = queue.latestOfLongestFlow();
    if (!candidate || lowest !== priority) return candidate;
    const isShorter = queue.waitingOf(caller) + 1 < queue.waitingOf(candidate.caller);
    return isShorter ? candidate : undefined;
  }

  nextExpiryAt(): number {
    return Math.min(...PRIORITIES.map((it) => this.#queues[it].nextExpiryAt()));
  }

  takeExpired(now: number): WaitingRequest[] {
    const expired = PRIORITIES.flatMap((it) => this.#queues[it].takeExpired(now));
    this.#size -= expired.length;
    return expired;
  }

  counts(): Record<Priority, number> {
    const { high, normal, low } = this.#queues;
    return { high: high.size, normal: normal.size, low: low.size };
  }

  /** Number of dispatches in which a priority is guaranteed one. */
  #dispatchesPerTurn(priority: Priority): number {
    return 1 / GUARANTEED_SHARES[priority];
  }
}
