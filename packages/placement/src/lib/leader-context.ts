import type { OrderOutcome, RangeOrder, ServerOrders } from '@boragepoint/platform';

import { type EndProof, endByAnswer, endByStart } from './end-proof.js';
import { type HeldRange, type Holder } from './held-range.js';
import type { ServerIncarnation } from './key-range.js';
import {
  type LeaseTimes,
  heldUntil,
  recordAnswered,
  recordReleased,
  recordUnanswered,
} from './lease-bound.js';
import type { IncarnationId, ServerDirectory } from './server-directory.js';
import type { ServerHealth } from './server-health.js';
import type { ServerReach } from './server-reach.js';
import type { Clocks } from './suspension-guard.js';

/** Logger for the decisions of placement. */
export interface PlacementLogger {
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Length of the leases that are granted to backend servers, in milliseconds. */
export const LEASE_MS = 4_000;
/** Time after which an order counts as unanswered and its connection is reset, in milliseconds. */
export const ORDER_TIMEOUT_MS = 1_000;
/**
 * Time after which a release counts as unanswered, in milliseconds; it is answered only when
 * running work has ended.
 */
export const RELEASE_TIMEOUT_MS = 4_000;

/** Shared dependencies and state of a leader's parts. */
export interface LeaderContext {
  readonly orders: ServerOrders;
  /** Reaches servers over other routers. */
  readonly reach: Pick<ServerReach, 'isRefusedToAll' | 'release'>;
  readonly directory: ServerDirectory;
  readonly health: ServerHealth;
  readonly clocks: Clocks;
  readonly log: PlacementLogger;
  readonly times: LeaseTimes;
  /** Aborts when the leader stops sending orders. */
  readonly signal: AbortSignal;
  /** Returns whether the leader may send any order, because no other router can be leading. */
  mayOrder(): boolean;
  /**
   * Returns whether the leader may renew leases; also true for a while if the store is unreachable,
   * to keep leases alive.
   */
  mayRenew(): boolean;
  /**
   * Time until which a grant of the former leader may still be in effect, on the monotonic clock.
   */
  inheritedUntil(): number;
  /** Records a change of a range: routers are notified, and the row's next write includes it. */
  noteChange(range: HeldRange): void;
  /**
   * Resolves to true once all decisions so far are stored in the row, to false if the leadership
   * lease is lost.
   */
  persist(): Promise<boolean>;
  /**
   * Requests per second that an incarnation takes from all routers; `undefined` if it names no
   * limit.
   */
  limitOf(incarnation: IncarnationId): number | undefined;
  /**
   * Returns whether the keys of a service may be given to its servers in an availability zone; those
   * of the others are moved away.
   */
  mayOwnKeys(service: string, availabilityZone: string): boolean;
  /** Takes an unused fencing token, which is above all tokens taken before. */
  readonly nextFence: () => number;
}

/** What shows whether an incarnation has ended. */
export interface EndContext {
  readonly directory: Pick<ServerDirectory, 'get'>;
  readonly health: Pick<ServerHealth, 'hasEnded'>;
}

const lifeOf = ({ server, address, startedMs }: ServerIncarnation) => ({
  id: server,
  address,
  startedMs,
});

/** Returns the proof of an incarnation's end that lies in a later start in the registry. */
function endInRegistry(ctx: EndContext, incarnation: ServerIncarnation): EndProof | undefined {
  const entry = ctx.directory.get(incarnation.server)?.entry;
  return entry && endByStart(lifeOf(incarnation), entry);
}

/**
 * Returns whether an incarnation has ended, as proved by an order or by a later start in the
 * registry. Its orders may have reached a later incarnation: see {@link mayHoldUntil}.
 */
export function hasEnded(ctx: EndContext, incarnation: ServerIncarnation): boolean {
  return ctx.health.hasEnded(incarnation) || endInRegistry(ctx, incarnation) !== undefined;
}

/** Runs a task of a leader to its end; an unexpected error is logged and ends this task only. */
export async function runTask(ctx: LeaderContext, task: () => Promise<unknown>): Promise<void> {
  try {
    await task();
  } catch (cause) {
    ctx.log.warn('placement task failed unexpectedly', { reason: String(cause) });
  }
}

/**
 * Returns whether all processes have ended that a holder's grants can have reached. A later start
 * does not show that: a server that starts again under its id and address accepts grants that were
 * meant for its former incarnation.
 */
function haveGrantsEnded(ctx: LeaderContext, { incarnation, bound }: Holder): boolean {
  const proofs = [ctx.health.endOf(incarnation), endInRegistry(ctx, incarnation)];
  return proofs.some((it) => it?.ordersUntil !== undefined && bound.settledAt <= it.ordersUntil);
}

/** Returns the time until which a holder may hold a range, on the monotonic clock. */
export function mayHoldUntil(ctx: LeaderContext, holder: Holder): number {
  if (haveGrantsEnded(ctx, holder)) return -Infinity;
  const own = heldUntil(holder.bound);
  return holder.inherited ? Math.max(own, ctx.inheritedUntil()) : own;
}

const targetOf = (incarnation: ServerIncarnation) => ({
  serverId: incarnation.server,
  address: incarnation.address,
});

function noteEnded(ctx: LeaderContext, incarnation: ServerIncarnation, proof: EndProof): void {
  if (!ctx.health.hasEnded(incarnation))
    ctx.log.info('backend server ended', { server: incarnation.server, proof: proof.seenBy });
  ctx.health.noteEnded(incarnation, proof);
}

/**
 * Notes that a server refused a connection. If it refuses all routers it may have ended, or all
 * paths to it are cut: its ranges get other owners, once it can't hold them any more.
 */
async function noteRefused(ctx: LeaderContext, incarnation: ServerIncarnation): Promise<void> {
  const isRefusedToAll = await ctx.reach.isRefusedToAll(targetOf(incarnation));
  const now = ctx.clocks.monotonic();
  if (!isRefusedToAll) {
    ctx.health.noteUnanswered(incarnation, now);
    return;
  }
  if (!ctx.health.isUnresponsive(incarnation, now))
    ctx.log.info('backend server refuses all routers', { server: incarnation.server });
  ctx.health.noteSuspected(incarnation, now);
}

async function noteOutcome(
  ctx: LeaderContext,
  incarnation: ServerIncarnation,
  outcome: OrderOutcome,
  sentAt: number,
): Promise<void> {
  if (outcome.kind === 'closed') await noteRefused(ctx, incarnation);
  else if (outcome.kind === 'misdirected')
    noteEnded(ctx, incarnation, endByAnswer(lifeOf(incarnation), outcome.kind, sentAt));
  else if (outcome.kind === 'unanswered' || outcome.kind === 'unreachable')
    ctx.health.noteUnanswered(incarnation, ctx.clocks.monotonic());
  else ctx.health.noteAnswered(incarnation);
}

/**
 * Returns the outcome of an order. An order that threw may have been sent before, so that it counts
 * as unanswered.
 */
async function settle(
  ctx: LeaderContext,
  incarnation: ServerIncarnation,
  order: () => Promise<OrderOutcome>,
): Promise<OrderOutcome> {
  try {
    return await order();
  } catch (cause) {
    ctx.log.warn('order failed unexpectedly', {
      server: incarnation.server,
      reason: String(cause),
    });
    return { kind: 'unanswered' };
  }
}

/** Grants a range to its owner or renews its lease, and updates the bound of the lease. */
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
  const target = targetOf(owner.incarnation);
  const outcome = await settle(ctx, owner.incarnation, () =>
    ctx.orders.grant(target, order, ORDER_TIMEOUT_MS, ctx.signal),
  );
  const now = ctx.clocks.monotonic();
  if (outcome.kind === 'done') {
    recordAnswered(owner.bound, now, ctx.times);
    // The owner now refuses grants of the former leader, which have lower fencing tokens.
    owner.inherited = false;
  }
  if (outcome.kind === 'unanswered') recordUnanswered(owner.bound, sentAt, now, ctx.times);
  await noteOutcome(ctx, owner.incarnation, outcome, sentAt);
  return outcome;
}

/**
 * Asks a server to release keys; over another router if connections from here are refused.
 */
export async function orderRelease(
  ctx: LeaderContext,
  incarnation: ServerIncarnation,
  order: RangeOrder,
  timeoutMs: number,
): Promise<OrderOutcome> {
  const target = targetOf(incarnation);
  const sentAt = ctx.clocks.monotonic();
  const outcome = await settle(ctx, incarnation, () =>
    ctx.orders.release(target, order, timeoutMs, ctx.signal),
  );
  await noteOutcome(ctx, incarnation, outcome, sentAt);
  if (outcome.kind !== 'closed' || ctx.health.hasEnded(incarnation)) return outcome;
  const relayed = await ctx.reach.release(target, order, timeoutMs);
  if (relayed.kind === 'unreachable') return relayed;
  ctx.log.info('release sent over another router', {
    server: incarnation.server,
    ...order,
    outcome: relayed.kind,
  });
  if (relayed.kind === 'misdirected')
    noteEnded(ctx, incarnation, endByAnswer(lifeOf(incarnation), relayed.kind, sentAt));
  return relayed;
}

/** Asks a holder to release a range, and updates the bound of its lease. */
export async function sendRelease(
  ctx: LeaderContext,
  range: HeldRange,
  holder: Holder,
): Promise<OrderOutcome> {
  const order: RangeOrder = { first: range.first, last: range.last, fence: holder.fence };
  const outcome = await orderRelease(ctx, holder.incarnation, order, RELEASE_TIMEOUT_MS);
  if (outcome.kind === 'done') recordReleased(holder.bound);
  return outcome;
}
