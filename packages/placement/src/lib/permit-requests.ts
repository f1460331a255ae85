import type { RequestPermitsRequest, RequestPermitsResponseSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

import type { Candidate } from './leader-lease.js';
import { type LimitExchange, decodeLimit } from './limit-exchange.js';
import type { PermitAllocator, PermitsReply, WantedPermits } from './permit-allocator.js';
import type { PlacementPeers } from './placement-peers.js';
import type { ServerLimits } from './server-limits.js';

/**
 * Timeout of a call to the leader, in milliseconds: callers wait for it, and a permit that comes
 * later is not used.
 */
const PERMIT_TIMEOUT_MS = 200;
/** Timeout of a call for which no caller waits, in milliseconds. */
const ADVANCE_TIMEOUT_MS = 500;

/** Answer to a request for permits, as sent over the wire. */
export type PermitsAnswer = MessageInitShape<typeof RequestPermitsResponseSchema>;

/** Asks the leader for permits, and answers other routers while this one leads. */
export interface PermitRequests {
  /**
   * Returns one reply for each entry; `undefined` if there is no leader or it does not answer in
   * time, which is longer if no caller waits.
   */
  request(
    wanted: readonly WantedPermits[],
    areCallersWaiting: boolean,
  ): Promise<readonly PermitsReply[] | undefined>;
  /** Tells the leader of limits that it does not know yet. */
  share(): Promise<void>;
  /** Answers another router. */
  answer(req: RequestPermitsRequest): PermitsAnswer;
}

/** Options of {@link createPermitRequests}. */
export interface PermitRequestsOptions {
  readonly self: Candidate;
  readonly limits: ServerLimits;
  readonly exchange: LimitExchange;
  readonly peers: Pick<PlacementPeers, 'requestPermits'>;
  /** Returns what gives permits out in this router; `undefined` while it does not lead. */
  allocator(): PermitAllocator | undefined;
  /** Returns the address of the leader that this router follows. */
  leader(): string | undefined;
}

/** Creates the part of one router. */
export function createPermitRequests(options: PermitRequestsOptions): PermitRequests {
  const { self, limits, exchange, peers } = options;
  let sharing: Promise<void> | undefined;

  async function call(wanted: readonly WantedPermits[], timeoutMs: number) {
    const address = options.leader();
    if (address === undefined) return undefined;
    const sharedUpTo = limits.change();
    const ask = { ...self, limits: exchange.reportFields(address).limits, wanted };
    const answer = await peers.requestPermits(address, ask, timeoutMs);
    if (!answer?.leads) return undefined;
    exchange.noteReceived(address, sharedUpTo, answer.startedMs);
    return answer.replies;
  }

  /** Calls until the leader knows all limits, or does not answer. */
  async function shareAll(): Promise<void> {
    for (;;) {
      const address = options.leader();
      if (address === undefined || !exchange.isAheadOf(address)) return;
      if (!(await call([], PERMIT_TIMEOUT_MS))) return;
    }
  }

  return {
    request(wanted, areCallersWaiting) {
      const allocator = options.allocator();
      if (allocator) return Promise.resolve(allocator.acquire(self.router, wanted));
      return call(wanted, areCallersWaiting ? PERMIT_TIMEOUT_MS : ADVANCE_TIMEOUT_MS);
    },
    share() {
      sharing ??= shareAll().finally(() => {
        sharing = undefined;
      });
      return sharing;
    },
    answer(req) {
      const startedMs = BigInt(self.startedMs);
      const allocator = options.allocator();
      if (!allocator) return { leads: false, startedMs };
      exchange.receive(req.address, {
        limits: req.limits.flatMap((it) => decodeLimit(it) ?? []),
        startedMs: Number(req.startedMs),
      });
      const replies = allocator.acquire(req.router, req.wanted);
      return {
        leads: true,
        startedMs,
        replies: replies.map(({ granted, holdTimeMs, spreadMs }) => ({
          granted: [...granted],
          holdTimeMs: Math.ceil(holdTimeMs),
          spreadMs: Math.ceil(spreadMs),
        })),
      };
    },
  };
}
