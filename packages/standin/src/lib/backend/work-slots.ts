import { monotonicMs } from '../clock.js';

const LOAD_WINDOW_MS = 1_000;

/** A span between two monotonic times in milliseconds. */
interface Interval {
  readonly from: number;
  readonly to: number;
}

/** Limits the concurrency of a backend server; requests wait for a slot in FIFO order. */
export class WorkSlots {
  running = 0;
  readonly #slots: number;
  readonly #queue: (() => void)[] = [];
  #finished: Interval[] = [];
  readonly #startTimes = new Set<number>();

  constructor(slots: number) {
    this.#slots = slots;
  }

  get waiting(): number {
    return this.#queue.length;
  }

  /** Waits for a slot; returns false when the signal aborts before a slot is free. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return false;
    if (this.running < this.#slots) {
      this.running += 1;
      return true;
    }
    return await new Promise<boolean>((resolve) => {
      const begin = () => {
        signal.removeEventListener('abort', giveUp);
        resolve(true);
      };
      const giveUp = () => {
        this.#queue.splice(this.#queue.indexOf(begin), 1);
        resolve(false);
      };
      this.#queue.push(begin);
      signal.addEventListener('abort', giveUp, { once: true });
    });
  }

  /** Releases a slot from `acquire` and passes it to the first waiting request. */
  release(): void {
    const next = this.#queue.shift();
    if (next === undefined) this.running -= 1;
    else next();
  }

  /** Runs work in an acquired slot and counts its time towards the utilization. */
  async runMeasured(work: () => Promise<void>): Promise<void> {
    const from = monotonicMs();
    this.#startTimes.add(from);
    try {
      await work();
    } finally {
      this.#startTimes.delete(from);
      this.#finished.push({ from, to: monotonicMs() });
    }
  }

  /** Returns the busy time in the last second as a share of all slots' time. */
  utilization(): number {
    const now = monotonicMs();
    const since = now - LOAD_WINDOW_MS;
    this.#finished = this.#finished.filter((it) => it.to > since);
    const open = [...this.#startTimes].map((from) => ({ from, to: now }));
    const busyMs = [...this.#finished, ...open]
      .map((it) => it.to - Math.max(since, it.from))
      .reduce((sum, ms) => sum + ms, 0);
    return busyMs / (LOAD_WINDOW_MS * this.#slots);
  }
}
