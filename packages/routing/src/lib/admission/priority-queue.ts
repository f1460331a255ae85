import type { Priority } from '@boragepoint/config';
import type { Result } from 'neverthrow';

import type { Permit } from './admission-queue.js';
import { type FairItem, FairQueue } from './fair-queue.js';
import { GUARANTEED_SHARES, PRIORITIES, PriorityScheduler } from './priority-scheduler.js';
import type { AdmissionRefusal } from './refusal.js';

/** A request that waits for admission. @internal */
export interface WaitingRequest extends FairItem {
  readonly priority: Priority;
  /** Answers the request, once it has left the queue. */
  settle(result: Result<Permit, AdmissionRefusal>): void;
}

/** Waiting requests of all priorities. @internal */
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

  /** True when no request of this or a higher priority waits. */
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

  /** Estimate of the requests that are served before a new one. */
  aheadOf(caller: string, priority: Priority): number {
    const aheadInClass = this.#queues[priority].aheadOf(caller);
    const higher = PRIORITIES.slice(0, PRIORITIES.indexOf(priority));
    const lower = PRIORITIES.slice(PRIORITIES.indexOf(priority) + 1);
    const aheadOfClass = higher.reduce((sum, it) => sum + this.#queues[it].size, 0);
    const lowerShare = lower
      .filter((it) => this.#queues[it].size > 0)
      .reduce((sum, it) => sum + GUARANTEED_SHARES[it], 0);
    const byPriority = (aheadInClass + aheadOfClass) / (1 - lowerShare);
    return Math.min(
      byPriority,
      aheadInClass / GUARANTEED_SHARES[priority] + this.#dispatchesPerTurn(priority),
    );
  }

  /** Request that gives way to a new one, or `undefined` when the new one must give way. */
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

  /** Dispatches until a priority's guaranteed share comes round. */
  #dispatchesPerTurn(priority: Priority): number {
    return 1 / GUARANTEED_SHARES[priority];
  }
}
