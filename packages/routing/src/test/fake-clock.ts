import type { Clock } from '../lib/admission/index.js';

interface Timer {
  readonly at: number;
  readonly fn: () => void;
}

/** Simulated clock that tests advance explicitly. */
export class FakeClock implements Clock {
  #now = 0;
  readonly #timers = new Set<Timer>();

  now(): number {
    return this.#now;
  }

  schedule(ms: number, fn: () => void): Disposable {
    const timer = { at: this.#now + ms, fn };
    this.#timers.add(timer);
    return { [Symbol.dispose]: () => void this.#timers.delete(timer) };
  }

  /** Advances the time and calls the timers that are due, in order. */
  advance(ms: number): void {
    const end = this.#now + ms;
    for (let next = this.#nextDue(end); next; next = this.#nextDue(end)) {
      this.#timers.delete(next);
      this.#now = next.at;
      next.fn();
    }
    this.#now = end;
  }

  #nextDue(end: number): Timer | undefined {
    return [...this.#timers].filter((it) => it.at <= end).sort((a, b) => a.at - b.at)[0];
  }
}
