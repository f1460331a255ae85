import type { BalanceServer, ShardLoad } from './balance-types.js';
import { PlanState, type WeightedShard, utilizationOf, weightShards } from './plan-state.js';
import { findBalancingMove } from './find-balancing-move.js';
import { type HotKey, type PinSuggestion, suggestPins } from './suggest-pins.js';

/**
 * Why a shard moves:
 * - `no-owner`: it has no owner, or its owner is not configured any more.
 * - `owner-gone`: its owner is lost.
 * - `owner-draining`: its owner takes no new work.
 * - `owner-outlier`: its owner was measured to be slow or to fail.
 * - `balance`: its owner has more load than others.
 */
export type MoveReason = 'no-owner' | 'owner-gone' | 'owner-draining' | 'owner-outlier' | 'balance';

/** A shard that should get another owner. */
export interface Move {
  readonly shard: number;
  readonly from: string | undefined;
  readonly to: string;
  readonly reason: MoveReason;
}

/** Input of a plan. */
export interface BalanceInput {
  /** All shards of the service; a pin counts as a shard of its own. */
  readonly shards: readonly ShardLoad[];
  readonly servers: readonly BalanceServer[];
  /** What matters more to the service: less unavailable time, or fewer moves. */
  readonly weigh: 'unavailable-time' | 'churn';
  /** Maximum number of moves with reason `balance`; others are not limited. */
  readonly budget: number;
  /** Moves in progress; they count as done, and their shards are not moved again. */
  readonly pending?: readonly { readonly shard: number; readonly to: string }[];
  /** Hottest keys, to suggest pins for. */
  readonly hotKeys?: readonly HotKey[];
  /** Hashes of keys that are pinned already. */
  readonly pins?: ReadonlySet<string>;
}

/** Moves, suggestions of pins, and the effect on the load. */
export interface BalancePlan {
  readonly moves: readonly Move[];
  readonly pinSuggestions: readonly PinSuggestion[];
  /** Utilization of the busiest server before the moves, divided by the mean utilization. */
  readonly imbalanceBefore: number;
  /** The same ratio after the moves. */
  readonly imbalanceAfter: number;
}

/** When balancing starts and stops, as ratios of a server's utilization to the mean. */
interface Thresholds {
  readonly startAbove: number;
  readonly startBelow: number;
  readonly stopAbove: number;
  readonly stopBelow: number;
  /** Least gain that is worth any move: drop of the highest plus rise of the lowest ratio. */
  readonly minGain: number;
}

const THRESHOLDS: Readonly<Record<BalanceInput['weigh'], Thresholds>> = {
  'unavailable-time': {
    startAbove: 1.07,
    startBelow: 0.85,
    stopAbove: 1.03,
    stopBelow: 0.95,
    minGain: 0.05,
  },
  churn: { startAbove: 1.15, startBelow: 0.7, stopAbove: 1.08, stopBelow: 0.9, minGain: 0.1 },
};

/** Utilization of the busiest and the least busy server, divided by the mean. */
interface Spread {
  readonly most: number;
  readonly least: number;
}

function spreadOf(planState: PlanState): Spread {
  const mean = planState.meanUtilization();
  const most = planState.mostUtilized();
  const least = planState.leastUtilized();
  if (!most || !least || mean === 0) return { most: 1, least: 1 };
  return { most: utilizationOf(most) / mean, least: utilizationOf(least) / mean };
}

function repairReason(planState: PlanState, shard: ShardLoad): MoveReason | undefined {
  switch (planState.stateOf(shard.owner)) {
    case undefined:
      return 'no-owner';
    case 'gone':
      return 'owner-gone';
    case 'draining':
      return 'owner-draining';
    case 'outlier':
      return 'owner-outlier';
    default:
      return undefined;
  }
}

/**
 * Moves shards that their owners can't keep, heaviest first: those of lost owners to their stored
 * successors that can take shards, the others to the least utilized servers.
 */
function repair(planState: PlanState, shards: readonly WeightedShard[]): Move[] {
  const moves: Move[] = [];
  const heaviestFirst = [...shards].sort((a, b) => b.weight - a.weight || a.shard - b.shard);
  for (const shard of heaviestFirst) {
    const reason = repairReason(planState, shard);
    if (!reason) continue;
    const stored = reason === 'owner-gone' ? planState.receiver(shard.successor) : undefined;
    const to = stored ?? planState.leastUtilized(shard.weight);
    if (!to) continue;
    planState.move(shard, shard.owner, to);
    moves.push({ shard: shard.shard, from: shard.owner, to: to.server.id, reason });
  }
  return moves;
}

/** Moves shards from the busiest to the least busy servers until the load is even enough. */
function balance(planState: PlanState, input: BalanceInput, fixed: Set<number>): Move[] {
  const { startAbove, startBelow, stopAbove, stopBelow, minGain } = THRESHOLDS[input.weigh];
  const before = spreadOf(planState);
  if (before.most <= startAbove && before.least >= startBelow) return [];
  const moves: Move[] = [];
  let after = before;
  while (after.most > stopAbove || after.least < stopBelow) {
    const found = findBalancingMove(planState, fixed);
    if (!found) break;
    const { shard, from, to } = found;
    planState.move(shard, from, to);
    fixed.add(shard.shard);
    moves.push({ shard: shard.shard, from, to: to.server.id, reason: 'balance' });
    after = spreadOf(planState);
  }
  const gain = before.most - after.most + after.least - before.least;
  return gain < minGain ? [] : moves.slice(0, Math.max(0, input.budget));
}

function imbalanceAfter(
  shards: readonly ShardLoad[],
  servers: readonly BalanceServer[],
  moves: readonly Move[],
): number {
  const targets = new Map(moves.map(({ shard, to }) => [shard, to]));
  const moved = shards.map((it) => ({ ...it, owner: targets.get(it.shard) ?? it.owner }));
  return spreadOf(new PlanState(weightShards(moved), servers)).most;
}

/**
 * Plans which shards should move. Shards whose owner is lost, draining, an outlier or missing
 * always move. Others move only if a server's utilization differs from the mean by more than a
 * start threshold, and then until all are within a tighter stop threshold, if the whole plan gains
 * enough. The two thresholds keep a fluctuating load from moving shards. No shard moves twice in a
 * plan. The same input gives the same plan.
 */
export function planMoves(input: BalanceInput): BalancePlan {
  const pending = new Map(input.pending?.map(({ shard, to }) => [shard, to]));
  const shards = weightShards(input.shards).map((it) => ({
    ...it,
    owner: pending.get(it.shard) ?? it.owner,
  }));
  const planState = new PlanState(shards, input.servers);
  const imbalanceBefore = spreadOf(planState).most;
  const repairs = repair(planState, shards);
  const fixed = new Set([...pending.keys(), ...repairs.map((it) => it.shard)]);
  const moves = [...repairs, ...balance(planState, input, fixed)];
  const serverCount = planState.receivers.length;
  return {
    moves,
    pinSuggestions: suggestPins(
      input.hotKeys ?? [],
      input.pins ?? new Set(),
      input.shards,
      serverCount,
    ),
    imbalanceBefore,
    imbalanceAfter: imbalanceAfter(shards, input.servers, moves),
  };
}
