import type { LeaseAnswer, LeaseRequest, ShardEpoch } from '@boragepoint/platform';

import type { LeaseClient } from './lease-client.js';
import { monotonicMs } from './pause.js';

/** Outcome of one renewal. */
export type RenewOutcome =
  | { readonly kind: 'renewed'; readonly answer: LeaseAnswer }
  /** First answer of an incarnation: nothing was granted, since no answer of it was echoed. */
  | { readonly kind: 'new-incarnation'; readonly answer: LeaseAnswer }
  /** The backend server has seen a higher keeper epoch. */
  | { readonly kind: 'replaced'; readonly keeperEpoch: number }
  | { readonly kind: 'no-answer' };

/** Parameters of one renewal. */
export interface Renewal {
  readonly address: string;
  readonly leaseMs: number;
  readonly timeoutMs: number;
  readonly grants: readonly ShardEpoch[];
  readonly release: readonly ShardEpoch[];
}

/** Renews the lease of one backend server under one keeper epoch. */
export interface LeaseRenewer {
  readonly keeperEpoch: number;
  renew(renewal: Renewal): Promise<RenewOutcome>;
  /** Asks for an answer without extending or granting anything. */
  probe(address: string, timeoutMs: number): Promise<RenewOutcome>;
  /**
   * Time, on the monotonic clock, of the last answer that accepted a renewal, under an earlier
   * keeper epoch too; the time of creation if there was none. The lease ends at most one lease
   * length after it.
   */
  lastAnswerAt(): number;
  /**
   * True once that incarnation of the backend server accepted this keeper epoch, so that it refuses
   * lower ones. Also true for `undefined`, when no incarnation is recorded yet.
   */
  hasFenced(incarnation: string | undefined): boolean;
  /** Incarnation that answered last. */
  serverIncarnation(): string | undefined;
  lastAnswer(): LeaseAnswer | undefined;
  /** Renewals in a row that got no answer. */
  unanswered(): number;
}

/**
 * Creates a renewer. Each renewal echoes the sequence number of the last answer.
 * @param previous This router's renewer under an earlier keeper epoch, whose last answer still
 *   counts.
 */
export function createLeaseRenewer(
  client: LeaseClient,
  keeper: string,
  keeperEpoch: number,
  previous?: LeaseRenewer,
): LeaseRenewer {
  let last = previous?.lastAnswer();
  let lastAnswerAt = previous?.lastAnswerAt() ?? monotonicMs();
  let unanswered = 0;
  const fencedIncarnations = new Set<string>();

  function echo(): LeaseRequest['echo'] {
    return last && { start: last.start, sequence: last.sequence };
  }

  async function send(
    address: string,
    req: LeaseRequest,
    timeoutMs: number,
  ): Promise<RenewOutcome> {
    const answer = await client.send(address, req, timeoutMs);
    if (answer.isErr()) {
      unanswered += 1;
      return { kind: 'no-answer' };
    }
    unanswered = 0;
    return accept(answer.value);
  }

  function accept(answer: LeaseAnswer): RenewOutcome {
    if (!answer.accepted) return { kind: 'replaced', keeperEpoch: answer.keeperEpoch };
    const isNewIncarnation = last?.start !== answer.start;
    last = answer;
    lastAnswerAt = monotonicMs();
    fencedIncarnations.add(answer.start);
    return { kind: isNewIncarnation ? 'new-incarnation' : 'renewed', answer };
  }

  return {
    keeperEpoch,
    renew({ address, leaseMs, timeoutMs, grants, release }) {
      const req = { keeper, keeperEpoch, leaseMs, grants: [...grants], release: [...release] };
      return send(address, last === undefined ? req : { ...req, echo: echo() }, timeoutMs);
    },
    probe(address, timeoutMs) {
      const req = { keeper, keeperEpoch, leaseMs: 0, grants: [], release: [] };
      return send(address, req, timeoutMs);
    },
    lastAnswerAt: () => lastAnswerAt,
    hasFenced: (incarnation) => incarnation === undefined || fencedIncarnations.has(incarnation),
    serverIncarnation: () => last?.start,
    lastAnswer: () => last,
    unanswered: () => unanswered,
  };
}
