import { setTimeout as sleep } from 'node:timers/promises';

import type { RowStore } from '@boragepoint/platform';

import { LEASE_MS, ORDER_TIMEOUT_MS } from './leader-context.js';
import {
  type Candidate,
  type LeaderLeaseReading,
  RENEWAL_GRACE_MS,
  createLeaderLease,
} from './leader-lease.js';
import { maxLeaseMs } from './lease-bound.js';
import {
  type PlacementLeader,
  type PlacementLeaderOptions,
  createPlacementLeader,
} from './placement-leader.js';
import type { PlacementPeers } from './placement-peers.js';
import type { LeaderLeaseRecord, Placement } from './placement-record.js';
import { renewFences } from './renew-fences.js';

/** Timeout of the request to a former leader to step down, in milliseconds. */
const STEP_DOWN_TIMEOUT_MS = 500;
/** Pause between two attempts to write the row, in milliseconds. */
const RETRY_MS = 300;
/** Number of retries of the first write while its outcome is unknown. */
const MAX_FIRST_WRITE_RETRIES = 5;

/**
 * Longest time for which an unanswered grant of an ended leader may still be in effect, in
 * milliseconds.
 */
export const MAX_UNANSWERED_GRANT_MS =
  ORDER_TIMEOUT_MS + maxLeaseMs({ leaseMs: LEASE_MS, transitMs: ORDER_TIMEOUT_MS });

/** Options of {@link becomeLeader}. */
export interface BecomeLeaderOptions extends Omit<
  PlacementLeaderOptions,
  'leaderLease' | 'previous' | 'inheritedForMs' | 'toMonotonic'
> {
  readonly self: Candidate;
  readonly store: RowStore;
  readonly peers: PlacementPeers;
  /** The reading of the row that showed that the leadership lease is free. */
  readonly reading: LeaderLeaseReading;
  readonly signal: AbortSignal;
}

function unheldLease(self: Candidate): LeaderLeaseRecord {
  return { ...self, epoch: 0, untilMs: 0, handedOver: true, unansweredForMs: 0, successor: '' };
}

/**
 * Returns the time for which a grant of the former leader may still be in effect, in milliseconds.
 */
async function inheritedForMs(
  previous: LeaderLeaseRecord,
  { self, peers, log }: BecomeLeaderOptions,
): Promise<number> {
  if (previous.handedOver) return previous.unansweredForMs;
  if (previous.router === self.router) return MAX_UNANSWERED_GRANT_MS;
  const { address, epoch, startedMs } = previous;
  const answer = await peers.requestStepDown(address, epoch, startedMs, STEP_DOWN_TIMEOUT_MS);
  log.info('former leader asked to step down', { router: previous.router, answer: answer.kind });
  if (answer.kind === 'stopped') return answer.unansweredForMs;
  return answer.kind === 'gone'
    ? MAX_UNANSWERED_GRANT_MS
    : RENEWAL_GRACE_MS + MAX_UNANSWERED_GRANT_MS;
}

/**
 * Acquires a free leadership lease; returns `undefined` if another router was faster or the store
 * does not confirm it.
 */
export async function becomeLeader(
  options: BecomeLeaderOptions,
): Promise<PlacementLeader | undefined> {
  const { self, reading, signal } = options;
  const leaderLease = createLeaderLease({ ...options, candidate: self });
  const previous: Placement | undefined = reading.placement;
  const content = {
    version: (previous?.version ?? 0) + 1,
    change: previous?.change ?? 0,
    suspects: options.suspects(),
    peers: options.knownPeers(),
    ...renewFences(previous ?? { nextFence: 1, services: new Map() }),
  };
  for (let tries = 0; ; tries += 1) {
    const written = await leaderLease.write(content);
    if (written === 'committed') break;
    if (written === 'lost' || tries >= MAX_FIRST_WRITE_RETRIES || signal.aborted) return undefined;
    await sleep(RETRY_MS);
  }
  return createPlacementLeader({
    ...options,
    leaderLease,
    previous: { ...content, leaderLease: previous?.leaderLease ?? unheldLease(self) },
    toMonotonic: (storeMs) => reading.receivedAt + (storeMs - reading.storeNowMs),
    inheritedForMs: previous ? await inheritedForMs(previous.leaderLease, options) : 0,
  });
}
