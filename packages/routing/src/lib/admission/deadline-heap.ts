/** An item of a {@link DeadlineHeap}; the heap maintains its position. @internal */
export interface HeapItem {
  /** Time on the clock at which the item expires, in milliseconds. */
  readonly expiresAt: number;
  /** Index in the heap. */
  position: number;
}

/** Binary heap of items by expiry time that supports the removal of any item. @internal */
export class DeadlineHeap<T extends HeapItem> {
  readonly #items: T[] = [];

  get size(): number {
    return this.#items.length;
  }

  /** Returns the item that expires first. */
  peek(): T | undefined {
    return this.#items[0];
  }

  push(item: T): void {
    this.#place(item, this.#items.length);
    this.#siftUp(item);
  }

  pop(): T | undefined {
    const first = this.#items[0];
    if (first) this.remove(first);
    return first;
  }

  remove(item: T): void {
    const last = this.#items.pop();
    if (!last || last === item) return;
    this.#place(last, item.position);
    this.#siftUp(last);
    this.#siftDown(last);
  }

  /** Returns the item that expires last, by a linear scan. */
  latest(): T | undefined {
    let latest = this.#items[0];
    for (const item of this.#items) {
      if (latest && item.expiresAt > latest.expiresAt) latest = item;
    }
    return latest;
  }

  #place(item: T, position: number): void {
    this.#items[position] = item;
    item.position = position;
  }

  #siftUp(item: T): void {
    while (item.position > 0) {
      const { position } = item;
      const parent = this.#items[(position - 1) >> 1];
      if (!parent || parent.expiresAt <= item.expiresAt) return;
      this.#place(item, parent.position);
      this.#place(parent, position);
    }
  }

  #siftDown(item: T): void {
    for (;;) {
      const { position } = item;
      const left = this.#items[2 * position + 1];
      const right = this.#items[2 * position + 2];
      const child = right && left && right.expiresAt < left.expiresAt ? right : left;
      if (!child || child.expiresAt >= item.expiresAt) return;
      this.#place(item, child.position);
      this.#place(child, position);
    }
  }
}
