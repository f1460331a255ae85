import type { LeaseConfig } from '@boragepoint/config';

import type { LeaseRenewer } from './lease-renewer.js';
import type { OwnershipContext } from './ownership-context.js';
import { monotonicMs } from './pause.js';
import type { KeeperRow, KeeperSeat } from './table-rows.js';

/** Largest difference between two clocks' rates that leases allow for, as a share. */
export const CLOCK_RATE_MARGIN = 0.02;
/** Added to each wait for a lease to lapse, against rounding. */
const LAPSE_MARGIN_MS = 10;

/** Longest time that a lease of this length can last on any backend server's clock. */
export function lapseMs(lease: LeaseConfig): number {
  return lease.leaseMs * (1 + CLOCK_RATE_MARGIN) + LAPSE_MARGIN_MS;
}

/** Longest time that a keeper acts on one read of the table, on any router's clock. */
export function tenureEndMs(lease: LeaseConfig): number {
  return lease.tenureMs * (1 + CLOCK_RATE_MARGIN) + LAPSE_MARGIN_MS;
}

/** What is known when an acting keeper wants to count on the lapse of a lease. */
export interface SilenceQuestion {
  readonly server: string;
  readonly row: KeeperRow;
  readonly lease: LeaseConfig;
  readonly renewer: LeaseRenewer;
  /** When the row that put the keeper in place was known to be written. */
  readonly seatedAt: number;
  /** Who may still renew under a lower keeper epoch, see the seat holder. */
  readonly former: KeeperSeat | 'nobody' | 'not-known';
  /** True while an earlier keeper may have moved shards without a record (rule 9). */
  readonly mayHaveMoved: boolean;
}

/** The standby does not answer, so it must leave the row before its tenure is waited out. */
export type SilenceAnswer = 'standby-unreachable' | 'tenure-not-over' | { readonly since: number };

async function standbySilentSince(
  ctx: OwnershipContext,
  question: SilenceQuestion,
): Promise<number | undefined> {
  const { standby } = question.row;
  if (standby === undefined) return question.renewer.lastAnswerAt();
  const answer = await ctx.peers.standDown(standby, question.server, question.row.acting.epoch);
  if (answer?.accepted !== true) return undefined;
  return answer.hasActed ? monotonicMs() : question.renewer.lastAnswerAt();
}

function isFirstKeeper(row: KeeperRow): boolean {
  return row.acting.epoch === 1;
}

/** Since when keepers with lower epochs are silent; `undefined` when that can't be told yet. */
async function formerSilentSince(
  ctx: OwnershipContext,
  question: SilenceQuestion,
): Promise<number | undefined> {
  const { server, row, lease, renewer, seatedAt, former } = question;
  if (renewer.isFenced(row.serverStart) || isFirstKeeper(row)) return renewer.lastAnswerAt();
  if (former === 'nobody') return renewer.lastAnswerAt();
  if ((row.deposedUpTo ?? 0) >= row.acting.epoch - 1) return monotonicMs();
  const tenureEnd = seatedAt + tenureEndMs(lease);
  if (monotonicMs() >= tenureEnd) return tenureEnd;
  if (former === 'not-known') return undefined;
  const answer = await ctx.peers.standDown(former, server, row.acting.epoch);
  return answer?.accepted === true ? monotonicMs() : undefined;
}

/**
 * Finds out since when no keeper but this one can have extended the lease of a backend server
 * (rule 6). The lease is over one {@link lapseMs} after that.
 */
export async function proveSilence(
  ctx: OwnershipContext,
  question: SilenceQuestion,
): Promise<SilenceAnswer> {
  const formerSince = await formerSilentSince(ctx, question);
  if (formerSince === undefined) return 'tenure-not-over';
  const standbySince = await standbySilentSince(ctx, question);
  if (standbySince === undefined) return 'standby-unreachable';
  return { since: Math.max(formerSince, standbySince) };
}
