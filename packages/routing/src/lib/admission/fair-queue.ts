import { DeadlineHeap, type HeapItem } from './deadline-heap.js';

/** An item that belongs to a caller. @internal */
export interface FairItem extends HeapItem {
  readonly caller: string;
}

/** Maximum number of idle callers that are kept as old flows while nothing waits. */
const MAX_IDLE_CALLERS = 1_024;

/** Waiting items of one caller. */
interface Flow<T extends FairItem> {
  readonly caller: string;
  readonly items: DeadlineHeap<T>;
}

/**
 * Queue that serves callers in turn and the items of each caller by deadline. As in FQ-CoDel (RFC
 * 8290), the flow of a caller that was idle is new and is served before old flows, so that a large
 * batch does not delay a caller that sends little. A new flow becomes an old one when it is served,
 * even if it is then empty, so that it can't stay ahead of the others. Unlike in FQ-CoDel, every
 * second item is taken from an old flow, so that a stream of new callers can't starve old flows.
 * @internal
 */
export class FairQueue<T extends FairItem> {
  readonly #flows = new Map<string, Flow<T>>();
  readonly #newFlows = new Set<Flow<T>>();
  readonly #oldFlows = new Set<Flow<T>>();
  #size = 0;
  #busyFlows = 0;
  #servedNewFlowLast = false;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  push(item: T): void {
    const flow = this.#flows.get(item.caller) ?? this.#addFlow(item.caller);
    if (flow.items.size === 0) this.#busyFlows += 1;
    flow.items.push(item);
    this.#size += 1;
  }

  /** Removes and returns the next item. */
  pop(): T | undefined {
    while (this.#size > 0) {
      const isNewFlowTurn = this.#oldFlows.size === 0 || !this.#servedNewFlowLast;
      const list = isNewFlowTurn && this.#newFlows.size > 0 ? this.#newFlows : this.#oldFlows;
      const item = this.#popFrom(list);
      if (!item) continue;
      this.#servedNewFlowLast = list === this.#newFlows;
      return item;
    }
    return undefined;
  }

  remove(item: T): void {
    const flow = this.#flows.get(item.caller);
    if (!flow) return;
    flow.items.remove(item);
    this.#onRemoved(flow);
  }

  /** Upper estimate of the number of items that are served before a new one of the caller. */
  aheadOf(caller: string): number {
    const own = this.waitingOf(caller);
    if (own === 0 && !this.#flows.has(caller)) return Math.min(this.#size, 2 * this.#newFlows.size);
    return Math.min(this.#size, (own + 1) * this.#busyFlows);
  }

  /** Number of waiting items of one caller. */
  waitingOf(caller: string): number {
    return this.#flows.get(caller)?.items.size ?? 0;
  }

  /** Returns the item that expires last of the caller with the most waiting items. */
  latestOfLongestFlow(): T | undefined {
    let longest: Flow<T> | undefined;
    for (const flow of this.#flows.values()) {
      if (flow.items.size > (longest?.items.size ?? 0)) longest = flow;
    }
    return longest?.items.latest();
  }

  /** Earliest time at which an item expires; `Infinity` if the queue is empty. */
  nextExpiryAt(): number {
    let next = Infinity;
    for (const flow of this.#flows.values()) {
      next = Math.min(next, flow.items.peek()?.expiresAt ?? Infinity);
    }
    return next;
  }

  /** Removes and returns the expired items. */
  takeExpired(now: number): T[] {
    const expired: T[] = [];
    for (const flow of this.#flows.values()) {
      for (let item = flow.items.peek(); item && item.expiresAt <= now; item = flow.items.peek()) {
        this.remove(item);
        expired.push(item);
      }
    }
    return expired;
  }

  #addFlow(caller: string): Flow<T> {
    const flow = { caller, items: new DeadlineHeap<T>() };
    this.#flows.set(caller, flow);
    this.#newFlows.add(flow);
    return flow;
  }

  /** Takes an item from the first flow of a list and moves the flow to the end of the old ones. */
  #popFrom(list: Set<Flow<T>>): T | undefined {
    const [flow] = list;
    if (!flow) return undefined;
    list.delete(flow);
    const item = flow.items.pop();
    if (!item && list === this.#oldFlows) {
      this.#flows.delete(flow.caller);
      return undefined;
    }
    this.#oldFlows.add(flow);
    if (item) this.#onRemoved(flow);
    return item;
  }

  #onRemoved(flow: Flow<T>): void {
    this.#size -= 1;
    if (flow.items.size === 0) this.#busyFlows -= 1;
    if (this.#size === 0 && this.#flows.size > MAX_IDLE_CALLERS) this.#forgetFlows();
  }

  #forgetFlows(): void {
    this.#flows.clear();
    this.#newFlows.clear();
    this.#oldFlows.clear();
  }
}
