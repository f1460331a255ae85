import type { ServiceConfig } from '@boragepoint/config';

import {
  type Move,
  type MoveReason,
  assignInitially,
  chooseSuccessors,
  planMoves,
} from './balance/index.js';
import { groupBy } from './balance/group-by.js';
import { rankCandidates } from './key-hash.js';
import type { MoveOrder } from './move-order.js';
import type { OwnershipContext } from './ownership-context.js';
import { pause } from './pause.js';
import { SUCCESSOR_PREFERENCE, balanceServers, balanceShards } from './stored-successors.js';
import { type Assignment, SHARDS_PER_ROW, assignKey } from './table-rows.js';

/** Interval between plans of a service. */
const PLAN_INTERVAL_MS = 1_000;
const MINUTE_MS = 60_000;
/** Duration of a table read from which on shards are not moved for balance. */
const SLOW_TABLE_READ_MS = 250;
/**
 * Reasons for which the planner orders moves. Keepers move the shards of lost servers without an
 * order.
 */
const ORDERED_MOVE_REASONS: ReadonlySet<MoveReason> = new Set([
  'balance',
  'owner-draining',
  'owner-outlier',
]);
const REASON_TEXTS: Readonly<Record<MoveReason, string>> = {
  'no-owner': 'the shard had no owner',
  'owner-gone': 'the owner was lost',
  'owner-draining': 'the owner is draining',
  'owner-outlier': 'the owner is far slower than others',
  balance: 'balance',
};

/**
 * Writes first assignments and asks keepers to move shards, for the services for which this router
 * ranks first among the live routers by rendezvous hashing.
 */
export type ServicePlanner = AsyncDisposable;

/** A move that a keeper was asked for. */
interface PendingMove extends Move {
  readonly service: string;
}

/** Sends move orders to the acting keeper of the server that owns the shards. */
export type MoveSender = (
  server: string,
  orders: readonly MoveOrder[],
  reason: string,
) => Promise<boolean>;

/** Creates the planner and starts its task. */
export function createServicePlanner(ctx: OwnershipContext, sendMoves: MoveSender): ServicePlanner {
  const stopping = new AbortController();
  /** Number of moves for balance that may still be ordered now, by service. */
  const budgets = new Map<string, number>();
  /** Moves in progress, by the server that the shards leave. */
  const pendingMoves = new Map<string, readonly PendingMove[]>();
  const done = run();

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await pause(PLAN_INTERVAL_MS, stopping.signal);
      await planAll();
    }
  }

  async function planAll(): Promise<void> {
    if (!ctx.isTableUp()) return;
    for (const service of ctx.map.services()) {
      if (isPlannerFor(service.name)) await planService(service);
    }
  }

  function isPlannerFor(service: string): boolean {
    const live = ctx.membership.live().map((it) => it.id);
    return rankCandidates(ctx.hasher, service, live)[0] === ctx.membership.self.id;
  }

  async function planService(service: ServiceConfig): Promise<void> {
    if (ctx.map.assignments(service.name).length < service.shards)
      await writeFirstAssignment(service);
    else orderMoves(service);
  }

  async function writeFirstAssignment(service: ServiceConfig): Promise<void> {
    const servers = balanceServers(ctx, service);
    const owners = assignInitially(service.shards, servers);
    const loads = owners.map((it) => ({ ...it, load: 0 }));
    const successors = chooseSuccessors(loads, servers, SUCCESSOR_PREFERENCE);
    const shards = owners.map(({ shard, owner }, i): Assignment => {
      const successor = successors[i]?.successor ?? '';
      return { shard, owner, epoch: 1, successor };
    });
    for (let first = 0; first < shards.length; first += SHARDS_PER_ROW) {
      const key = assignKey(service.name, first);
      if (ctx.rows.assign(key) !== undefined) continue;
      const value = { shards: shards.slice(first, first + SHARDS_PER_ROW), history: [] };
      const written = await ctx.writer.write([{ key, expectedVersion: 0, value }], stopping.signal);
      if (written.isErr()) await ctx.writer.refresh([key]);
    }
    ctx.peers.announce();
  }

  /**
   * Adds the moves that the service allows in one interval, up to a quarter of its moves a minute.
   * Returns the whole moves in the budget.
   */
  function refillBudget(service: ServiceConfig): number {
    const maxBudget = Math.max(1, service.movesPerMinute / 4);
    const perPlan = (service.movesPerMinute * PLAN_INTERVAL_MS) / MINUTE_MS;
    const budget = Math.min(maxBudget, (budgets.get(service.name) ?? maxBudget) + perPlan);
    budgets.set(service.name, budget);
    return Math.floor(budget);
  }

  function orderMoves(service: ServiceConfig): void {
    // No server serves a shard between its release and the write of its new owner, so shards move
    // for balance only while the table is fast.
    const isFast = ctx.lastTableReadMs() < SLOW_TABLE_READ_MS;
    const budget = isFast ? refillBudget(service) : 0;
    const shards = balanceShards(ctx, service);
    const servers = balanceServers(ctx, service);
    const pending = [...pendingMoves.values()].flat().filter((it) => it.service === service.name);
    const { moves } = planMoves({ shards, servers, weigh: service.weigh, budget, pending });
    const wanted = moves.filter((it) => ORDERED_MOVE_REASONS.has(it.reason));
    const spent = wanted.filter((it) => it.reason === 'balance').length;
    budgets.set(service.name, (budgets.get(service.name) ?? 0) - spent);
    const byOwner = groupBy(wanted, (it) => it.from ?? '');
    for (const [server, group] of byOwner) void sendGroup(service, server, group);
  }

  async function sendGroup(
    service: ServiceConfig,
    server: string,
    moves: readonly Move[],
  ): Promise<void> {
    if (server === '' || pendingMoves.has(server)) return;
    pendingMoves.set(
      server,
      moves.map((it) => ({ ...it, service: service.name })),
    );
    const orders = moves.map(({ shard, to }): MoveOrder => {
      const epoch = ctx.map.assignment(service.name, shard)?.epoch ?? 0;
      return { shard, epoch, to };
    });
    const reason = REASON_TEXTS[moves[0]?.reason ?? 'balance'];
    await sendMoves(server, orders, reason);
    pendingMoves.delete(server);
  }

  return {
    async [Symbol.asyncDispose]() {
      stopping.abort();
      await done;
    },
  };
}
