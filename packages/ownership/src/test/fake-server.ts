import type { LeaseAnswer, LeaseRequest, ShardEpoch } from '@boragepoint/platform';
import { type Result, err, ok } from 'neverthrow';

import { type LeaseClient, LeaseError } from '../lib/lease-client.js';
import { monotonicMs } from '../lib/pause.js';

/**
 * `answers-lost`: renewals take effect, but their answers are lost; `unreachable`: none arrives.
 */
export type ServerMode = 'up' | 'answers-lost' | 'unreachable';

/** A renewal that arrived. */
export interface ReceivedRenewal {
  /** When it arrived, on the monotonic clock. */
  readonly at: number;
  readonly incarnation: string;
  readonly req: LeaseRequest;
  readonly accepted: boolean;
}

/** A backend server that follows the lease rules of DESIGN.md, on the monotonic clock. */
export class FakeServer {
  readonly received: ReceivedRenewal[] = [];
  mode: ServerMode = 'up';
  /** The only router whose renewals arrive; those of all routers do when it is `undefined`. */
  onlyKeeper: string | undefined;
  /** While true, shards whose release is asked for stay in use. */
  isBusy = false;
  incarnation = 'start-1';
  /** Highest keeper epoch that this incarnation has seen. */
  keeperEpoch = 0;
  /** End of the latest lease of any incarnation, on the monotonic clock. */
  leaseEndsAt = -Infinity;
  readonly #acceptedGrants: { readonly incarnation: string; readonly grant: ShardEpoch }[] = [];
  #sequence = 0;
  #currentLeaseEndsAt = -Infinity;
  readonly #answeredAt = new Map<number, number>();
  readonly #held = new Map<number, ShardEpoch>();
  readonly #releasing = new Map<number, ShardEpoch>();
  readonly #releasedEpochs = new Map<number, number>();

  /** Starts a new incarnation, which knows nothing of the one before. */
  restart(incarnation: string): void {
    this.incarnation = incarnation;
    this.keeperEpoch = 0;
    this.#currentLeaseEndsAt = -Infinity;
    const known = [this.#answeredAt, this.#held, this.#releasing, this.#releasedEpochs];
    for (const it of known) it.clear();
  }

  held(): ShardEpoch[] {
    if (monotonicMs() >= this.#currentLeaseEndsAt) this.#held.clear();
    return [...this.#held.values()];
  }

  /** Grants that one incarnation accepted; renewals that echo another incarnation grant nothing. */
  granted(incarnation: string): ShardEpoch[] {
    const accepted = this.#acceptedGrants.filter((it) => it.incarnation === incarnation);
    return accepted.map((it) => it.grant);
  }

  /** Renewals that arrived under a keeper epoch. */
  receivedUnder(keeperEpoch: number): ReceivedRenewal[] {
    return this.received.filter((it) => it.req.keeperEpoch === keeperEpoch);
  }

  answer(req: LeaseRequest): LeaseAnswer {
    const accepted = req.keeperEpoch >= this.keeperEpoch;
    this.received.push({ at: monotonicMs(), incarnation: this.incarnation, req, accepted });
    this.held();
    if (accepted) this.#accept(req);
    this.#sequence += 1;
    this.#answeredAt.set(this.#sequence, monotonicMs());
    return {
      accepted,
      start: this.incarnation,
      sequence: this.#sequence,
      keeperEpoch: this.keeperEpoch,
      held: this.held(),
      releasing: [...this.#releasing.values()],
      leaseLeftMs: Math.max(0, this.#currentLeaseEndsAt - monotonicMs()),
    };
  }

  #accept(req: LeaseRequest): void {
    this.keeperEpoch = req.keeperEpoch;
    this.#release(req.release);
    const answeredAt = this.#answeredAt.get(req.echo?.sequence ?? 0);
    if (req.echo?.start !== this.incarnation || answeredAt === undefined) return;
    this.#currentLeaseEndsAt = Math.max(this.#currentLeaseEndsAt, answeredAt + req.leaseMs);
    this.leaseEndsAt = Math.max(this.leaseEndsAt, this.#currentLeaseEndsAt);
    for (const grant of req.grants) {
      const isReleased = grant.epoch <= (this.#releasedEpochs.get(grant.shard) ?? 0);
      if (isReleased) continue;
      this.#held.set(grant.shard, grant);
      this.#acceptedGrants.push({ incarnation: this.incarnation, grant });
    }
  }

  #release(asked: readonly ShardEpoch[]): void {
    for (const it of asked) {
      this.#releasedEpochs.set(it.shard, it.epoch);
      this.#held.delete(it.shard);
      if (this.isBusy) this.#releasing.set(it.shard, it);
      else this.#releasing.delete(it.shard);
    }
  }
}

/** Sends renewals to fake servers by their address. */
export function createFakeLeaseClient(servers: ReadonlyMap<string, FakeServer>): LeaseClient {
  return {
    async send(address, req): Promise<Result<LeaseAnswer, LeaseError>> {
      await Promise.resolve();
      const server = servers.get(address);
      const lost = err(new LeaseError(`no answer from ${address}`));
      if (server === undefined || server.mode === 'unreachable') return lost;
      if (req.keeper !== (server.onlyKeeper ?? req.keeper)) return lost;
      const answer = server.answer(req);
      return server.mode === 'answers-lost' ? lost : ok(answer);
    },
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}
