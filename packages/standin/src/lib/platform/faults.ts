import type { InstanceRecord } from '@boragepoint/platform';

import { monotonicMs } from '../clock.js';
import { createRandom, type Random } from '../random.js';
import type { PlatformControl } from './control.js';

const DEFAULT_READS_PER_SECOND = 2_000;
const DEFAULT_WRITES_PER_SECOND = 300;
const SECOND_MS = 1_000;

/** Limits the number of calls in each one-second window. */
class RateLimit {
  #windowStart = 0;
  #count = 0;

  constructor(public perSecond: number) {}

  tryAcquire(): boolean {
    const now = monotonicMs();
    if (now - this.#windowStart >= SECOND_MS) {
      this.#windowStart = now;
      this.#count = 0;
    }
    this.#count += 1;
    return this.#count <= this.perSecond;
  }
}

/** Faults and rate limits of the stand-in platform, changed through its control path. */
export class PlatformFaults {
  down: 'no' | 'refuse' | 'silent' = 'no';
  slowMs = 0;
  readonly reads = new RateLimit(DEFAULT_READS_PER_SECOND);
  readonly writes = new RateLimit(DEFAULT_WRITES_PER_SECOND);
  #loseNext = 0;
  #lossProbability = 0;
  #random: Random = createRandom(0);
  #instances: InstanceRecord[] = [];
  #instancesLagMs = 0;

  apply(change: PlatformControl): void {
    this.down = change.down ?? this.down;
    this.slowMs = change.slowMs ?? this.slowMs;
    this.#loseNext = change.loseNext ?? this.#loseNext;
    if (change.loseShare !== undefined) {
      this.#lossProbability = change.loseShare.probability;
      this.#random = createRandom(change.loseShare.seed);
    }
    this.reads.perSecond = change.readsPerSecond ?? this.reads.perSecond;
    this.writes.perSecond = change.writesPerSecond ?? this.writes.perSecond;
    this.#instancesLagMs = change.instancesLagMs ?? this.#instancesLagMs;
    if (change.instances !== undefined) this.#publishAfterLag(change.instances);
  }

  /** Decides whether to lose the answer to a write that took effect. */
  shouldLoseAnswer(): boolean {
    if (this.#loseNext > 0) {
      this.#loseNext -= 1;
      return true;
    }
    return this.#random.next() < this.#lossProbability;
  }

  instances(): InstanceRecord[] {
    return this.#instances;
  }

  #publishAfterLag(instances: InstanceRecord[]): void {
    if (this.#instancesLagMs === 0) {
      this.#instances = instances;
      return;
    }
    setTimeout(() => (this.#instances = instances), this.#instancesLagMs).unref();
  }
}
