import type { OrderOutcome, RangeOrder, ServerOrders } from '@boragepoint/platform';

import { type Holder, type HeldRange } from './held-range.js';
import type { ServerIncarnation } from './key-range.js';
import {
  type LeaseTimes,
  heldUntil,
  recordAnswered,
  recordReleased,
  recordUnanswered,
} from './lease-bound.js';
import type { ServerDirectory } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { Clocks } from './suspension-guard.js';

/** Writes what a leader decided and why. */
export interface PlacementLogger {
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Lease length that this project grants, in milliseconds. */
export const LEASE_MS = 7_000;
/** Time after which an order counts as unanswered and its connection is reset, in milliseconds. */
export const ORDER_TIMEOUT_MS = 1_000;
/** A release is answered when running work has ended, so it may take longer. */
export const RELEASE_TIMEOUT_MS = 4_000;

/** What the parts of a leader share. */
export interface LeaderContext {
  readonly orders: ServerOrders;
  readonly directory: ServerDirectory;
  readonly health: ServerHealth;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  readonly times: LeaseTimes;
  readonly signal: AbortSignal;
  /** The leader may order anything now: nobody else can be leading. */
  mayOrder(): boolean;
  /** The leader may renew leases: it may order, or the store is away and leases must not lapse. */
  mayRenew(): boolean;
  /** How long before its end a server says that it leaves, in milliseconds. */
  drainNoticeMs(): number;
  /** Until when a grant of the former leader may still be carried out, on the monotonic clock. */
  inheritedUntil(): number;
  /** A range changed: routers are told, and the row is written. */
  noteChange(range: HeldRange): void;
  /** Resolves when the row with everything decided so far is stored; false when the seat is lost. */
  persist(): Promise<boolean>;
  readonly nextFence: () => number;
}

/** The life is over: proved by an order, or by a newer start in the registry. */
export function hasEnded(ctx: LeaderContext, incarnation: ServerIncarnation): boolean {
  if (ctx.health.hasEnded(incarnation)) return true;
  const known = ctx.directory.get(incarnation.server);
  return known !== undefined && known.entry.startedMs > incarnation.startedMs;
}

/** Time until which a holder may hold a range, on the monotonic clock. */
export function mayHoldUntil(ctx: LeaderContext, holder: Holder): number {
  if (hasEnded(ctx, holder.incarnation)) return -Infinity;
  const own = heldUntil(holder.bound);
  return holder.inherited ? Math.max(own, ctx.inheritedUntil()) : own;
}

/** What a server says of itself in the registry is known this long after it said so, in milliseconds. */
const REGISTRY_DELAY_MS = 2_000;

/**
 * Returns whether a server may be leaving, which it says in the registry a notice before. One that leaves stops
 * listening before its last work has ended, so that a refused connection proves nothing.
 */
function mayBeLeaving(ctx: LeaderContext, incarnation: ServerIncarnation): boolean {
  const known = ctx.directory.get(incarnation.server);
  if (known?.entry.startedMs !== incarnation.startedMs || known.entry.draining) return true;
  const followedMs = ctx.clocks.monotonic() - ctx.directory.currentSince();
  return followedMs < ctx.drainNoticeMs() + REGISTRY_DELAY_MS;
}

function noteOutcome(
  ctx: LeaderContext,
  incarnation: ServerIncarnation,
  outcome: OrderOutcome,
): void {
  if (outcome.kind === 'gone' && mayBeLeaving(ctx, incarnation)) {
    ctx.health.noteUnanswered(incarnation, ctx.clocks.monotonic());
  } else if (outcome.kind === 'gone' || outcome.kind === 'misdirected') {
    if (!ctx.health.hasEnded(incarnation)) {
      ctx.log.info('backend server ended', { server: incarnation.server, proof: outcome.kind });
    }
    ctx.health.noteEnded(incarnation);
  } else if (outcome.kind === 'unanswered' || outcome.kind === 'unreachable') {
    ctx.health.noteUnanswered(incarnation, ctx.clocks.monotonic());
  } else {
    ctx.health.noteAnswered(incarnation);
  }
}

const targetOf = (incarnation: ServerIncarnation) => ({
  serverId: incarnation.server,
  address: incarnation.address,
});

/** Grants a range to its owner, or renews it, and keeps the bound of its lease. */
export async function sendGrant(
  ctx: LeaderContext,
  range: HeldRange,
  owner: Holder,
): Promise<OrderOutcome> {
  const order = {
    first: range.first,
    last: range.last,
    fence: owner.fence,
    handover: range.handover,
    leaseMs: ctx.times.leaseMs,
  };
  const sentAt = ctx.clocks.monotonic();
  range.renewedAt = sentAt;
  const outcome = await ctx.orders.grant(
    targetOf(owner.incarnation),
    order,
    ORDER_TIMEOUT_MS,
    ctx.signal,
  );
  noteOutcome(ctx, owner.incarnation, outcome);
  const now = ctx.clocks.monotonic();
  if (outcome.kind === 'done') {
    recordAnswered(owner.bound, now, ctx.times);
    // It refuses from now on what the former leader granted under lower tokens.
    owner.inherited = false;
  }
  if (outcome.kind === 'unanswered') recordUnanswered(owner.bound, sentAt, ctx.times);
  return outcome;
}

/** Takes a range back from a holder. */
export async function sendRelease(
  ctx: LeaderContext,
  range: HeldRange,
  holder: Holder,
): Promise<OrderOutcome> {
  const order: RangeOrder = { first: range.first, last: range.last, fence: holder.fence };
  const outcome = await ctx.orders.release(
    targetOf(holder.incarnation),
    order,
    RELEASE_TIMEOUT_MS,
    ctx.signal,
  );
  noteOutcome(ctx, holder.incarnation, outcome);
  if (outcome.kind === 'done') recordReleased(holder.bound);
  return outcome;
}
