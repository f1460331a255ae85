import { setTimeout as sleep } from 'node:timers/promises';

import { type RowStore, inEra } from '@boragepoint/platform';

import type { RequestStepDown } from './former-leader.js';
import {
  type Candidate,
  type LeaderLeaseReading,
  RENEWAL_GRACE_MS,
  createLeaderLease,
} from './leader-lease.js';
import {
  type PlacementLeader,
  type PlacementLeaderOptions,
  createPlacementLeader,
} from './placement-leader.js';
import { type LeaderLeaseRecord, releasedLease } from './placement-record.js';
import {
  MAX_UNANSWERED_GRANT_MS,
  type RecoveredPlacement,
  STEP_DOWN_TIMEOUT_MS,
} from './recover-placement.js';
import { renewFences } from './renew-fences.js';

/** Pause between two attempts to write the row, in milliseconds. */
const RETRY_MS = 300;
/** Number of retries of the first write while its outcome is unknown. */
const MAX_FIRST_WRITE_RETRIES = 5;

/** Options of {@link becomeLeader}. */
export interface BecomeLeaderOptions extends Omit<
  PlacementLeaderOptions,
  'leaderLease' | 'previous' | 'inheritedForMs' | 'askFormerLeader' | 'toMonotonic' | 'leasesEnded'
> {
  readonly self: Candidate;
  readonly store: RowStore;
  readonly requestStepDown: RequestStepDown;
  /** The reading of the row that showed that the leadership lease is free. */
  readonly reading: LeaderLeaseReading;
  /** The placement to start from, in an era that no leader has claimed. */
  readonly recovered?: RecoveredPlacement;
  /** Highest epoch known besides the row's. */
  readonly knownEpoch: number;
  readonly signal: AbortSignal;
}

/** What is known of the grants of a former leader. */
interface FormerGrants {
  /** Time for which they may still be in effect, in milliseconds. */
  readonly inheritedForMs: number;
  /** See {@link PlacementLeaderOptions.askFormerLeader}. */
  readonly askFormerLeader?: () => Promise<number | undefined>;
}

/** Asks the former leader to step down, and again later if it does not answer. */
async function formerGrants(
  previous: LeaderLeaseRecord,
  { self, requestStepDown, log }: BecomeLeaderOptions,
): Promise<FormerGrants> {
  if (previous.handedOver) return { inheritedForMs: previous.unansweredForMs };
  if (previous.router === self.router) return { inheritedForMs: MAX_UNANSWERED_GRANT_MS };
  const { router, address, epoch, startedMs } = previous;
  let lastAnswer = '';
  async function askFormerLeader(): Promise<number | undefined> {
    const answer = await requestStepDown(address, epoch, startedMs, STEP_DOWN_TIMEOUT_MS);
    if (answer.kind !== lastAnswer)
      log.info('former leader asked to step down', { router, answer: answer.kind });
    lastAnswer = answer.kind;
    if (answer.kind === 'stopped') return answer.unansweredForMs;
    return answer.kind === 'gone' ? MAX_UNANSWERED_GRANT_MS : undefined;
  }
  const inheritedForMs = await askFormerLeader();
  if (inheritedForMs !== undefined) return { inheritedForMs };
  return { inheritedForMs: RENEWAL_GRACE_MS + MAX_UNANSWERED_GRANT_MS, askFormerLeader };
}

/** Returns what a leader takes over from the former one, once its lease is acquired. */
async function takeOver(
  options: BecomeLeaderOptions,
): Promise<Omit<RecoveredPlacement, 'source'> & FormerGrants> {
  const { reading, recovered } = options;
  if (recovered) return recovered;
  const { placement, receivedAt, storeNowMs } = reading;
  return {
    placement,
    ...(placement ? await formerGrants(placement.leaderLease, options) : { inheritedForMs: 0 }),
    toMonotonic: (storeMs) => receivedAt + (storeMs - storeNowMs),
    leasesEnded: false,
  };
}

/** Returns the placement to start from, with new fencing tokens. */
function firstContent(options: BecomeLeaderOptions) {
  const { reading, recovered } = options;
  const previous = recovered ? recovered.placement : reading.placement;
  // Tokens of this era are above all that were given out in earlier ones and may be lost.
  const nextFence = Math.max(previous?.nextFence ?? 1, inEra(reading.era, 1));
  return {
    version: (previous?.version ?? 0) + 1,
    change: previous?.change ?? 0,
    suspects: options.suspects(),
    peers: options.knownPeers(),
    strongestCapacity: options.strongestCapacity(),
    ...renewFences({ services: previous?.services ?? new Map<string, never>(), nextFence }),
    isUnverified: previous?.isUnverified ?? recovered?.source === 'none',
  };
}

/**
 * Acquires a free leadership lease; returns `undefined` if another router was faster or the store
 * does not confirm it.
 */
export async function becomeLeader(
  options: BecomeLeaderOptions,
): Promise<PlacementLeader | undefined> {
  const { self, reading, signal, log } = options;
  const leaderLease = createLeaderLease({
    ...options,
    candidate: self,
    onReturn(change) {
      log.warn('leadership lease in a new era of the store', { ...change });
    },
  });
  const content = firstContent(options);
  for (let tries = 0; ; tries += 1) {
    const written = await leaderLease.write(content);
    if (written === 'committed') break;
    if (written === 'lost' || tries >= MAX_FIRST_WRITE_RETRIES || signal.aborted) return undefined;
    await sleep(RETRY_MS);
  }
  const { placement, ...inherited } = await takeOver(options);
  if (options.recovered) {
    log.warn('placement recovered after the return of the store', {
      era: reading.era,
      source: options.recovered.source,
      epoch: leaderLease.epoch,
      formerEpoch: placement?.leaderLease.epoch,
      copyEpoch: reading.copy?.leaderLease.epoch,
    });
  }
  return createPlacementLeader({
    ...options,
    ...inherited,
    leaderLease,
    previous: { ...content, leaderLease: placement?.leaderLease ?? releasedLease(self, 0) },
  });
}
