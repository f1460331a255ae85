import type { LeaseAnswer, LeaseRequest, RefusalReason, ShardEpoch } from '@boragepoint/platform';
import { v4 as randomUuid } from 'uuid';

import { monotonicMs } from '../clock.js';
import type { EventSink, ShardEvent } from './event-log.js';

/** Number of latest answers whose echo can still extend the lease. */
const MAX_REMEMBERED_ANSWERS = 64;

/** The reason why a request for a shard is refused. */
export interface ShardRefusal {
  readonly reason: RefusalReason;
  /** With `stale-epoch`: the epoch under which the shard is held. */
  readonly epoch?: number;
}

function nameOf({ service, shard }: Pick<ShardEpoch, 'service' | 'shard'>): string {
  return `${service}/${shard}`;
}

/** Holds a backend server's lease and shards by the rules of `packages/ownership/DESIGN.md`. */
export class LeaseHolder {
  readonly start = randomUuid();
  readonly #server: string;
  readonly #log: EventSink;
  readonly #now: () => number;
  readonly #held = new Map<string, ShardEpoch>();
  /** Shards that are no longer held but still have running or waiting requests. */
  readonly #releasing = new Map<string, ShardEpoch>();
  /** Names of releasing shards whose waiting requests may still begin, until the lease lapses. */
  readonly #mayStillBegin = new Set<string>();
  readonly #releasedEpochs = new Map<string, number>();
  readonly #requestCounts = new Map<string, number>();
  /** Monotonic times in milliseconds by the sequence of the answer. */
  readonly #answerSentAt = new Map<number, number>();
  #keeperEpoch = 0;
  #sequence = 0;
  /** Monotonic time in milliseconds. */
  #leaseExpiresAt = 0;
  #lapseTimer: NodeJS.Timeout | undefined;

  /** @param now Returns a monotonic time in milliseconds. */
  constructor(server: string, log: EventSink, now: () => number = monotonicMs) {
    this.#server = server;
    this.#log = log;
    this.#now = now;
  }

  /** Applies a lease renewal and returns the answer to it. */
  renew(req: LeaseRequest): LeaseAnswer {
    this.#lapseIfDue();
    const accepted = req.keeperEpoch >= this.#keeperEpoch;
    if (accepted) {
      this.#keeperEpoch = req.keeperEpoch;
      this.#extend(req);
      req.release.forEach((it) => {
        this.#release(it);
      });
      if (this.#leaseExpiresAt > this.#now())
        req.grants.forEach((it) => {
          this.#grant(it, req);
        });
    }
    return this.#answer(accepted);
  }

  /**
   * Returns why a request may not run, or `undefined` when it may.
   *
   * @param waited True for a request that was accepted earlier and has waited for a slot.
   * @param now Monotonic time in milliseconds.
   */
  refusalOf(request: ShardEpoch, waited: boolean, now: number): ShardRefusal | undefined {
    this.#lapseIfDue();
    const name = nameOf(request);
    const mayFinish = waited && this.#mayStillBegin.has(name);
    const held = this.#held.get(name) ?? (mayFinish ? this.#releasing.get(name) : undefined);
    if (held === undefined || this.#leaseExpiresAt <= now) return { reason: 'not-owner' };
    if (held.epoch !== request.epoch) return { reason: 'stale-epoch', epoch: held.epoch };
    return undefined;
  }

  /** Counts a request for the shard that waits or runs. */
  requestStarted(request: ShardEpoch): void {
    const name = nameOf(request);
    this.#requestCounts.set(name, (this.#requestCounts.get(name) ?? 0) + 1);
  }

  /** Ends the count of a request; the last one completes a pending release of its shard. */
  requestEnded(request: ShardEpoch): void {
    const name = nameOf(request);
    const left = (this.#requestCounts.get(name) ?? 1) - 1;
    if (left > 0) {
      this.#requestCounts.set(name, left);
      return;
    }
    this.#requestCounts.delete(name);
    const released = this.#releasing.get(name);
    if (released === undefined) return;
    this.#releasing.delete(name);
    if (this.#mayStillBegin.delete(name)) this.#write('released', released);
  }

  #extend({ echo, leaseMs }: LeaseRequest): void {
    if (echo?.start !== this.start) return;
    const sentAt = this.#answerSentAt.get(echo.sequence);
    if (sentAt === undefined) return;
    this.#leaseExpiresAt = Math.max(this.#leaseExpiresAt, sentAt + leaseMs);
    this.#scheduleLapse();
  }

  #grant(grant: ShardEpoch, { echo }: LeaseRequest): void {
    if (echo?.start !== this.start || !this.#answerSentAt.has(echo.sequence)) return;
    const name = nameOf(grant);
    if (grant.epoch <= (this.#releasedEpochs.get(name) ?? 0)) return;
    const held = this.#held.get(name);
    if (held !== undefined && grant.epoch <= held.epoch) return;
    if (held !== undefined) this.#write('released', held);
    this.#releasing.delete(name);
    this.#mayStillBegin.delete(name);
    this.#held.set(name, grant);
    this.#write('granted', grant);
  }

  #release(release: ShardEpoch): void {
    const name = nameOf(release);
    const highestEpoch = Math.max(release.epoch, this.#releasedEpochs.get(name) ?? 0);
    this.#releasedEpochs.set(name, highestEpoch);
    const held = this.#held.get(name);
    if (held === undefined || held.epoch > release.epoch) return;
    this.#held.delete(name);
    if (!this.#requestCounts.has(name)) {
      this.#write('released', held);
      return;
    }
    this.#releasing.set(name, held);
    this.#mayStillBegin.add(name);
  }

  #answer(accepted: boolean): LeaseAnswer {
    this.#sequence += 1;
    this.#answerSentAt.set(this.#sequence, this.#now());
    this.#answerSentAt.delete(this.#sequence - MAX_REMEMBERED_ANSWERS);
    return {
      accepted,
      start: this.start,
      sequence: this.#sequence,
      keeperEpoch: this.#keeperEpoch,
      held: [...this.#held.values()],
      releasing: [...this.#releasing.values()],
      leaseLeftMs: Math.max(0, this.#leaseExpiresAt - this.#now()),
    };
  }

  /** Schedules the lapse; a timer that fires before the lease has expired is set again. */
  #scheduleLapse(): void {
    clearTimeout(this.#lapseTimer);
    const left = Math.max(0, this.#leaseExpiresAt - this.#now());
    this.#lapseTimer = setTimeout(() => {
      if (!this.#lapseIfDue()) this.#scheduleLapse();
    }, Math.ceil(left)).unref();
  }

  #lapseIfDue(): boolean {
    if (this.#leaseExpiresAt > this.#now()) return false;
    for (const name of this.#mayStillBegin) this.#lapse(this.#releasing.get(name));
    this.#mayStillBegin.clear();
    for (const [name, held] of this.#held) {
      if (this.#requestCounts.has(name)) this.#releasing.set(name, held);
      this.#lapse(held);
    }
    this.#held.clear();
    return true;
  }

  #lapse(shard: ShardEpoch | undefined): void {
    if (shard !== undefined) this.#write('lapsed', shard, this.#leaseExpiresAt);
  }

  #write(kind: ShardEvent['kind'], { service, shard, epoch }: ShardEpoch, at?: number): void {
    this.#log({ kind, at: at ?? this.#now(), server: this.#server, service, shard, epoch });
  }
}
