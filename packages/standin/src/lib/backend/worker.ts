import type { RefusalReason } from '@boragepoint/platform';

import { monotonicMs, sleep } from '../clock.js';
import type { BackendFaults } from './control.js';
import type { EventSink } from './event-log.js';
import type { LeaseHolder, ShardRefusal } from './lease-holder.js';
import type { ServerRequest } from './server-request.js';
import type { WorkSlots } from './work-slots.js';

const CRASH_EXIT_CODE = 70;

/** Settings of a stand-in backend server that are fixed while it runs. */
export interface WorkerSettings {
  readonly server: string;
  /** Whether the epoch and lease are checked for each request. */
  readonly checks: boolean;
  /** Maximum number of waiting requests; further requests are refused. */
  readonly maxWaiting: number;
  /** Duration of the cold start, during which processing is slower, in milliseconds. */
  readonly coldMs: number;
  /** Multiplier on the processing time during the cold start. */
  readonly coldFactor: number;
}

/** The outcome of a request; `runs` counts its runs so far, repeats included. */
export type WorkOutcome =
  | { readonly kind: 'ran'; readonly runs: number }
  | { readonly kind: 'refused'; readonly refusal: ShardRefusal }
  | { readonly kind: 'dropped' };

/** Runs requests in slots after checking leases, deadlines and faults. */
export class Worker {
  readonly #settings: WorkerSettings;
  readonly #lease: LeaseHolder;
  readonly #slots: WorkSlots;
  readonly #faults: BackendFaults;
  readonly #log: EventSink;
  readonly #startedAt = monotonicMs();
  readonly #runs = new Map<string, number>();

  constructor(
    settings: WorkerSettings,
    lease: LeaseHolder,
    slots: WorkSlots,
    faults: BackendFaults,
    log: EventSink,
  ) {
    this.#settings = settings;
    this.#lease = lease;
    this.#slots = slots;
    this.#faults = faults;
    this.#log = log;
  }

  /** Runs or refuses a request; an abort drops it while it waits for a slot. */
  async handle(req: ServerRequest, signal: AbortSignal): Promise<WorkOutcome> {
    const refusal = this.#refusalOnArrival(req);
    if (refusal !== undefined) return { kind: 'refused', refusal };
    this.#lease.requestStarted(req.shard);
    try {
      return await this.#waitAndRun(req, signal);
    } finally {
      this.#lease.requestEnded(req.shard);
    }
  }

  async #waitAndRun(req: ServerRequest, signal: AbortSignal): Promise<WorkOutcome> {
    const hasSlot = await this.#slots.acquire(signal);
    if (!hasSlot) return this.#drop(req);
    try {
      if (signal.aborted) return this.#drop(req);
      const now = monotonicMs();
      const refusal = this.#refusalOf(req, true, now);
      if (refusal !== undefined) return { kind: 'refused', refusal };
      this.#logRun(req, now);
      await this.#slots.runMeasured(() => this.#run(req, signal));
      return { kind: 'ran', runs: this.#countRun(req) };
    } finally {
      this.#slots.release();
    }
  }

  #refusalOnArrival(req: ServerRequest): ShardRefusal | undefined {
    const refuse = (reason: RefusalReason) => ({ reason });
    if (this.#faults.draining) return refuse('draining');
    if (this.#faults.refuse !== null) return refuse(this.#faults.refuse);
    if (this.#slots.waiting >= this.#settings.maxWaiting) return refuse('overloaded');
    return this.#refusalOf(req, false, monotonicMs());
  }

  #refusalOf(req: ServerRequest, waited: boolean, now: number): ShardRefusal | undefined {
    if (req.deadline <= now) return { reason: 'deadline' };
    return this.#settings.checks ? this.#lease.refusalOf(req.shard, waited, now) : undefined;
  }

  async #run(req: ServerRequest, signal: AbortSignal): Promise<void> {
    if (req.crashes) process.exit(CRASH_EXIT_CODE);
    const factor = this.#faults.slowFactor * this.#coldFactor();
    const cancel = req.idempotent ? signal : undefined;
    await sleep((req.workMs ?? this.#faults.serviceMs) * factor, cancel);
  }

  #coldFactor(): number {
    const isCold = monotonicMs() - this.#startedAt < this.#settings.coldMs;
    return isCold ? this.#settings.coldFactor : 1;
  }

  #countRun(req: ServerRequest): number {
    const identity = req.idempotencyKey ?? req.requestId;
    const runs = (this.#runs.get(identity) ?? 0) + 1;
    this.#runs.set(identity, runs);
    return runs;
  }

  #drop({ requestId }: ServerRequest): WorkOutcome {
    this.#log({ kind: 'dropped', at: monotonicMs(), server: this.#settings.server, requestId });
    return { kind: 'dropped' };
  }

  #logRun(req: ServerRequest, at: number): void {
    this.#log({
      kind: 'ran',
      at,
      server: this.#settings.server,
      start: this.#lease.start,
      ...req.shard,
      requestId: req.requestId,
      key: req.key,
      ...(req.idempotencyKey === undefined ? {} : { idempotencyKey: req.idempotencyKey }),
      idempotent: req.idempotent,
    });
  }
}
