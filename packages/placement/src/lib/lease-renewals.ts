import { setTimeout as sleep } from 'node:timers/promises';

import { RENEWAL_CHECK_INTERVAL_MS, dueRenewals } from './due-renewals.js';
import { handOver } from './hand-over.js';
import type { HeldRange, Holder } from './held-range.js';
import { type LeaderContext, hasEnded, runTask, sendGrant } from './leader-context.js';
import { type RangeTable, joinNeighbours } from './range-table.js';

/** Time between two checks for adjacent ranges that one renewal can cover, in milliseconds. */
const JOIN_INTERVAL_MS = 2_000;

function isLost(ctx: LeaderContext, { incarnation }: Holder): boolean {
  return (
    hasEnded(ctx, incarnation) || ctx.health.isUnresponsive(incarnation, ctx.clocks.monotonic())
  );
}

/** Renews one lease; calls `onOwnerLost` if the owner has ended or can't be reached. */
async function renew(ctx: LeaderContext, range: HeldRange, onOwnerLost: () => void): Promise<void> {
  const { owner } = range;
  if (!owner || hasEnded(ctx, owner.incarnation)) return;
  range.renewing = true;
  const outcome = await sendGrant(ctx, range, owner).finally(() => {
    range.renewing = false;
  });
  if (outcome.kind === 'done') return;
  ctx.log.info('lease not renewed', {
    first: range.first,
    last: range.last,
    server: owner.incarnation.server,
    fence: owner.fence,
    outcome: outcome.kind,
  });
  if (outcome.kind === 'fenced') await regrant(ctx, range);
  if (isLost(ctx, owner)) onOwnerLost();
}

/** Grants a range under a new fencing token after its owner has refused a lower one. */
async function regrant(ctx: LeaderContext, range: HeldRange): Promise<void> {
  if (!range.owner) return;
  range.busy = true;
  range.owner.fence = ctx.nextFence();
  try {
    if (await ctx.persist()) await handOver(ctx, range);
  } finally {
    range.busy = false;
  }
}

/**
 * Grants a joined range under its new fencing token; if the grant fails, the next renewal repeats
 * it.
 */
export async function grantJoined(ctx: LeaderContext, range: HeldRange): Promise<void> {
  try {
    if (range.owner && ctx.mayOrder()) await sendGrant(ctx, range, range.owner);
  } finally {
    range.busy = false;
  }
}

/** Renews the leases of all ranges until `ctx.signal` aborts. */
export async function renewLeases(
  ctx: LeaderContext,
  tables: ReadonlyMap<string, RangeTable>,
  onOwnerLost: () => void,
): Promise<void> {
  let joinAt = -Infinity;
  while (!ctx.signal.aborted) {
    const now = ctx.clocks.monotonic();
    if (ctx.mayRenew()) {
      if (now >= joinAt) {
        joinAt = now + JOIN_INTERVAL_MS;
        for (const table of tables.values()) joinNeighbours(table);
      }
      const ranges = [...tables.values()].flatMap((it) => it.ranges);
      for (const range of dueRenewals(ranges, now)) {
        void runTask(ctx, () => renew(ctx, range, onOwnerLost));
      }
    }
    await sleep(RENEWAL_CHECK_INTERVAL_MS, undefined, { signal: ctx.signal }).catch(
      () => undefined,
    );
  }
}
