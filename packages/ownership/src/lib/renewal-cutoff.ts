import type { LeaseConfig } from '@boragepoint/config';

import type { LeaseRenewer } from './lease-renewer.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import type { KeeperRole, KeeperRow } from './table-rows.js';

/** Largest difference between the rates of two clocks that leases allow for, as a share. */
export const CLOCK_RATE_MARGIN = 0.02;
/** Added to each wait for the end of a lease or tenure, against rounding. */
const ROUNDING_MARGIN_MS = 10;

/**
 * Longest time, on this router's clock, that a lease of this length can last on a backend server's
 * clock.
 */
export function maxLeaseMs(lease: LeaseConfig): number {
  return lease.leaseMs * (1 + CLOCK_RATE_MARGIN) + ROUNDING_MARGIN_MS;
}

/** Longest time, on this router's clock, that another keeper acts on one read of the table. */
export function maxTenureMs(lease: LeaseConfig): number {
  return lease.tenureMs * (1 + CLOCK_RATE_MARGIN) + ROUNDING_MARGIN_MS;
}

/** What an acting keeper knows when it has to prove that a lease has lapsed. */
export interface CutoffQuery {
  readonly server: string;
  readonly row: KeeperRow;
  readonly lease: LeaseConfig;
  readonly renewer: LeaseRenewer;
  /** When this router took its role, after the row that names it had been written. */
  readonly takenAt: number;
  /** Who else may still renew under a lower keeper epoch; see `HeldRole`. */
  readonly otherRenewer: KeeperRole | 'nobody' | 'not-known';
  /** True while an earlier keeper may have moved shards without a record (rule 9 in DESIGN.md). */
  readonly mayHaveUnrecordedMoves: boolean;
}

/**
 * When the last other keeper stopped renewing, or why that is not known yet:
 * - `standby-unreachable`: the standby does not answer or refuses. It must be removed from the row,
 *   and its tenure waited out.
 * - `tenure-not-over`: earlier keepers may still renew.
 */
export type RenewalCutoff =
  'standby-unreachable' | 'tenure-not-over' | { readonly stoppedAt: number };

/** Returns when the standby stopped renewing; `undefined` when it does not stand down. */
async function standbyCutoff(
  ctx: OwnershipContext,
  query: CutoffQuery,
): Promise<number | undefined> {
  const { standby } = query.row;
  if (standby === undefined) return query.renewer.lastAnswerAt();
  const answer = await ctx.peers.standDown(standby, query.server, query.row.acting.epoch);
  if (answer?.accepted !== true) return undefined;
  return answer.hasActed ? monotonicMs() : query.renewer.lastAnswerAt();
}

function isFirstKeeper(row: KeeperRow): boolean {
  return row.acting.epoch === 1;
}

/** Returns when keepers with lower epochs stopped renewing; `undefined` when not known yet. */
async function earlierKeeperCutoff(
  ctx: OwnershipContext,
  query: CutoffQuery,
): Promise<number | undefined> {
  const { server, row, lease, renewer, takenAt, otherRenewer } = query;
  if (renewer.hasFenced(row.serverStart) || isFirstKeeper(row)) return renewer.lastAnswerAt();
  if (otherRenewer === 'nobody') return renewer.lastAnswerAt();
  if ((row.deposedUpTo ?? 0) >= row.acting.epoch - 1) return monotonicMs();
  const tenureEnd = takenAt + maxTenureMs(lease);
  if (monotonicMs() >= tenureEnd) return tenureEnd;
  if (otherRenewer === 'not-known') return undefined;
  const answer = await ctx.peers.standDown(otherRenewer, server, row.acting.epoch);
  return answer?.accepted === true ? monotonicMs() : undefined;
}

/**
 * Finds the time after which no other keeper can have extended the lease of a backend server
 * (rule 6 in DESIGN.md). The lease has lapsed one {@link maxLeaseMs} after it.
 */
export async function findRenewalCutoff(
  ctx: OwnershipContext,
  query: CutoffQuery,
): Promise<RenewalCutoff> {
  const earlierAt = await earlierKeeperCutoff(ctx, query);
  if (earlierAt === undefined) return 'tenure-not-over';
  const standbyAt = await standbyCutoff(ctx, query);
  if (standbyAt === undefined) return 'standby-unreachable';
  return { stoppedAt: Math.max(earlierAt, standbyAt) };
}
