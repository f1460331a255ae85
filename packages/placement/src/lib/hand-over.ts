import { setTimeout as sleep } from 'node:timers/promises';

import type { HeldRange, Holder } from './held-range.js';
import {
  type LeaderContext,
  hasEnded,
  mayHoldUntil,
  sendGrant,
  sendRelease,
} from './leader-context.js';

/** Pause between two attempts, in milliseconds. */
const RETRY_MS = 150;
/** Waits for a former holder that are longer than this are logged, in milliseconds. */
const LONG_WAIT_MS = 1_000;
/** Number of attempts to grant a range to a new owner, before the planner chooses another one. */
const MAX_GRANT_TRIES = 4;

async function pause(ctx: LeaderContext, ms: number): Promise<void> {
  await sleep(ms, undefined, { signal: ctx.signal }).catch(() => undefined);
}

/**
 * Returns whether the owner is a later incarnation of a holder at the same address. A grant that was
 * meant for the holder reaches nobody but the owner, which has a higher fencing token.
 */
function isFormerIncarnation({ incarnation }: Holder, owner: Holder | undefined): boolean {
  const later = owner?.incarnation;
  return (
    later?.server === incarnation.server &&
    later.address === incarnation.address &&
    later.startedMs > incarnation.startedMs
  );
}

/**
 * Waits until a former holder can't hold the range any more: it released it, its lease expired, or
 * its process ended.
 */
async function waitUntilVacated(
  ctx: LeaderContext,
  range: HeldRange,
  holder: Holder,
): Promise<void> {
  if (isFormerIncarnation(holder, range.owner)) return;
  let released = false;
  let isWaiting = false;
  while (!ctx.signal.aborted) {
    const waitMs = mayHoldUntil(ctx, holder) - ctx.clocks.monotonic();
    if (waitMs <= 0) return;
    // An owner that only other routers named may have no known address.
    const isCallable = holder.incarnation.address !== '';
    if (!released && isCallable && ctx.mayOrder()) {
      const outcome = await sendRelease(ctx, range, holder);
      if (outcome.kind === 'done') {
        released = true;
        range.handover = outcome.handover ?? range.handover;
        continue;
      }
    }
    if (!isWaiting && waitMs > LONG_WAIT_MS) {
      isWaiting = true;
      ctx.log.info('range waits for its former owner', {
        first: range.first,
        last: range.last,
        server: holder.incarnation.server,
        inherited: holder.inherited,
        forMs: Math.round(waitMs),
      });
    }
    await pause(ctx, Math.min(RETRY_MS, Math.max(1, waitMs)));
  }
}

async function grantToOwner(ctx: LeaderContext, range: HeldRange): Promise<void> {
  let tries = 0;
  while (tries < MAX_GRANT_TRIES && !ctx.signal.aborted) {
    const { owner } = range;
    if (!owner || hasEnded(ctx, owner.incarnation)) return;
    if (!ctx.mayOrder()) {
      await pause(ctx, RETRY_MS);
      continue;
    }
    tries += 1;
    const outcome = await sendGrant(ctx, range, owner);
    if (outcome.kind === 'done') {
      range.granted = true;
      range.grantedAt = ctx.clocks.monotonic();
      return;
    }
    if (outcome.kind === 'fenced') {
      owner.fence = ctx.nextFence();
      if (!(await ctx.persist())) return;
    }
    // The planner chooses another owner at once.
    if (ctx.health.isUnresponsive(owner.incarnation, ctx.clocks.monotonic())) return;
    await pause(ctx, RETRY_MS);
  }
}

/**
 * Hands a range over to its new owner, which must already be stored in the row. The owner is
 * granted the range only after no former holder can hold it any more. The range is marked as busy
 * meanwhile, and in no case longer.
 */
export async function handOver(ctx: LeaderContext, range: HeldRange): Promise<void> {
  range.busy = true;
  try {
    await vacateAndGrant(ctx, range);
  } finally {
    range.busy = false;
    ctx.noteChange(range);
  }
}

async function vacateAndGrant(ctx: LeaderContext, range: HeldRange): Promise<void> {
  const startedAt = ctx.clocks.monotonic();
  const from = range.former.map((it) => it.incarnation.server);
  await Promise.all(range.former.map((it) => waitUntilVacated(ctx, range, it)));
  if (!ctx.signal.aborted) {
    const vacatedAt = ctx.clocks.monotonic();
    range.former = [];
    await grantToOwner(ctx, range);
    ctx.log.info('range handed over', {
      first: range.first,
      last: range.last,
      from,
      to: range.owner?.incarnation.server,
      fence: range.owner?.fence,
      granted: range.granted,
      withState: range.handover !== undefined,
      vacateMs: Math.round(vacatedAt - startedAt),
      totalMs: Math.round(ctx.clocks.monotonic() - startedAt),
    });
    if (range.granted) range.handover = undefined;
  }
}
