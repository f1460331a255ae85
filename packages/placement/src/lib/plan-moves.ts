import type { KeySpan } from '@boragepoint/platform';

import type { KeyLoad, LoadMap } from './load-map.js';

/** A server that may own keys. */
export interface PlannedServer {
  readonly id: string;
  /** Requests that it runs in a second, in any common unit. */
  readonly capacity: number;
}

/** A range with its owner. */
export interface PlannedRange extends KeySpan {
  readonly owner: string | undefined;
  /** False while the range may not be moved, though its load counts. */
  readonly movable: boolean;
}

/** A span that should get another owner. It lies within one of the ranges. */
export interface PlannedMove extends KeySpan {
  readonly to: string;
}

/** What the planner sees. */
export interface PlanInput {
  readonly servers: readonly PlannedServer[];
  readonly ranges: readonly PlannedRange[];
  readonly load: LoadMap;
  /** Moves for the sake of balance; with 0, only ranges without an owner are placed. */
  readonly maxMoves: number;
}

/** Difference in utilization, as a share of the mean, below which nothing is moved. */
const UTILIZATION_TOLERANCE = 0.2;
/**
 * Difference in utilization, in standard deviations of what chance makes of equal loads, below which
 * nothing is moved.
 */
const SIGNIFICANT_DEVIATIONS = 2.5;
/** Load, in recent requests, too small to be worth a move. */
const MIN_MOVED_WEIGHT = 1;
/** How far a moved load may exceed what is wanted. */
const MAX_OVERSHOOT = 1.25;

/** Share of what its owner should carry in all from which a single key counts as hot. */
const HOT_KEY_SHARE = 1;
/** How much faster another server must be for a hot key to go there. */
const MIN_SPEEDUP = 1.2;

interface Bin extends PlannedServer {
  load: number;
}

interface MoveCandidate extends KeySpan {
  readonly weight: number;
}

interface LoadedRange extends PlannedRange {
  readonly loads: readonly KeyLoad[];
}

const utilization = (bin: Bin) => bin.load / bin.capacity;

/**
 * Variance of a server's utilization if its requests arrive at random. A count whose entries halve
 * with age has half the variance of a plain one.
 */
const varianceOf = (bin: Bin) => bin.load / 2 / bin.capacity ** 2;

/** Returns whether one server is used more than another, beyond tolerance and chance. */
function isUneven(busiest: Bin, idlest: Bin, mean: number): boolean {
  const difference = utilization(busiest) - utilization(idlest);
  const deviation = Math.sqrt(varianceOf(busiest) + varianceOf(idlest));
  return difference >= Math.max(mean * UTILIZATION_TOLERANCE, deviation * SIGNIFICANT_DEVIATIONS);
}

function weightOf(loads: readonly KeyLoad[]): number {
  return loads.reduce((sum, it) => sum + it.weight, 0);
}

/** Parts of a range that could move: the whole, and what lies on either side of each gap. */
function candidatesOf(range: KeySpan, loads: readonly KeyLoad[]): MoveCandidate[] {
  const { first, last } = range;
  const total = weightOf(loads);
  const candidates: MoveCandidate[] = [{ first, last, weight: total }];
  let before = 0;
  loads.forEach((it, index) => {
    const next = loads[index + 1];
    before += it.weight;
    if (next === undefined) return;
    const cut = (it.key + next.key) >> 1;
    candidates.push({ first, last: cut, weight: before });
    candidates.push({ first: cut + 1, last, weight: total - before });
  });
  return candidates;
}

/** What is left of a range when a candidate, which lies at one of its ends, has moved away. */
function remaindersOf(range: LoadedRange, moved: MoveCandidate): LoadedRange[] {
  const left = { ...range, last: moved.first - 1 };
  const right = { ...range, first: moved.last + 1 };
  return [left, right]
    .filter((it) => it.first <= it.last)
    .map((it) => ({
      ...it,
      loads: it.loads.filter(({ key }) => key >= it.first && key <= it.last),
    }));
}

function bestCandidate(
  candidates: readonly MoveCandidate[],
  wanted: number,
): MoveCandidate | undefined {
  let best: MoveCandidate | undefined;
  for (const it of candidates) {
    if (it.weight < MIN_MOVED_WEIGHT || it.weight > wanted * MAX_OVERSHOOT) continue;
    if (!best || Math.abs(it.weight - wanted) < Math.abs(best.weight - wanted)) best = it;
  }
  return best;
}

/**
 * Gives each key that alone is more than its owner's share to the fastest server, where it can be served
 * most often. Takes the moved keys out of `settled`.
 */
function placeHotKeys(
  movableRanges: LoadedRange[],
  bins: readonly Bin[],
  mean: number,
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  const taken = new Set<string>();
  const fastestFirst = [...bins].sort((a, b) => b.capacity - a.capacity);
  const hot = movableRanges
    .flatMap((range) => range.loads.map((load) => ({ range, load })))
    .sort((a, b) => b.load.weight - a.load.weight);
  for (const { range, load } of hot) {
    const owner = bins.find((it) => it.id === range.owner);
    if (!owner || load.weight < mean * owner.capacity * HOT_KEY_SHARE) break;
    const fastest = fastestFirst.find((it) => !taken.has(it.id));
    if (!fastest) break;
    const isFaster = fastest.capacity > owner.capacity * MIN_SPEEDUP;
    taken.add(isFaster ? fastest.id : owner.id);
    if (!isFaster || !movableRanges.includes(range)) continue;
    const keySpan = { first: load.key, last: load.key, weight: load.weight };
    movableRanges.splice(movableRanges.indexOf(range), 1, ...remaindersOf(range, keySpan));
    owner.load -= load.weight;
    fastest.load += load.weight;
    moves.push({ first: load.key, last: load.key, to: fastest.id });
  }
  return moves;
}

function extremeBin(bins: readonly Bin[], sign: 1 | -1): Bin | undefined {
  let found: Bin | undefined;
  for (const bin of bins) {
    if (!found || (utilization(bin) - utilization(found)) * sign > 0) found = bin;
  }
  return found;
}

/**
 * Plans which spans should move so that servers are used evenly by recent load: spans without an owner
 * first, to the least used servers; then, again and again, a part of the most used server's ranges
 * to the least used one. A single busy key can't be divided: then its neighbours move away from it.
 */
export function planMoves(input: PlanInput): PlannedMove[] {
  const { load, maxMoves } = input;
  const bins: Bin[] = input.servers.map((it) => ({ ...it, load: 0 }));
  const binOf = new Map(bins.map((it) => [it.id, it]));
  if (bins.length === 0) return [];
  const moves: PlannedMove[] = [];
  const ranges: LoadedRange[] = input.ranges.map((it) => ({ ...it, loads: load.within(it) }));
  for (const range of ranges) {
    const bin = range.owner === undefined ? undefined : binOf.get(range.owner);
    if (bin) bin.load += weightOf(range.loads);
  }
  // A tiny weight for each range spreads ranges without load over all servers.
  const unowned = ranges.filter((it) => it.movable && !binOf.has(it.owner ?? ''));
  unowned.sort((a, b) => weightOf(b.loads) - weightOf(a.loads));
  for (const range of unowned) {
    const bin = extremeBin(bins, -1);
    if (!bin) break;
    bin.load += Math.max(weightOf(range.loads), NEGLIGIBLE_RANGE_WEIGHT);
    moves.push({ first: range.first, last: range.last, to: bin.id });
  }
  const movableRanges = ranges.filter((it) => it.movable && binOf.has(it.owner ?? ''));
  const totalCapacity = bins.reduce((sum, it) => sum + it.capacity, 0);
  const mean = bins.reduce((sum, it) => sum + it.load, 0) / totalCapacity;
  if (maxMoves > 0) moves.push(...placeHotKeys(movableRanges, bins, mean));
  const exhausted = new Set<Bin>();
  let balanceMoves = 0;
  while (balanceMoves < maxMoves) {
    const busiest = extremeBin(
      bins.filter((it) => !exhausted.has(it)),
      1,
    );
    const idlest = extremeBin(bins, -1);
    if (!busiest || !idlest || busiest === idlest) break;
    if (!isUneven(busiest, idlest, mean)) break;
    const surplus = busiest.load - mean * busiest.capacity;
    const room = mean * idlest.capacity - idlest.load;
    const wanted = Math.min(surplus, room);
    const own = movableRanges.filter((it) => it.owner === busiest.id);
    const found = bestCandidate(
      own.flatMap((it) => candidatesOf(it, it.loads)),
      wanted,
    );
    if (!found) {
      exhausted.add(busiest);
      continue;
    }
    const source = own.find((it) => it.first <= found.first && it.last >= found.last);
    if (!source) break;
    movableRanges.splice(movableRanges.indexOf(source), 1, ...remaindersOf(source, found));
    busiest.load -= found.weight;
    idlest.load += found.weight;
    moves.push({ first: found.first, last: found.last, to: idlest.id });
    balanceMoves += 1;
  }
  return moves;
}

/** Weight by which a range without recent requests counts when it is placed. */
const NEGLIGIBLE_RANGE_WEIGHT = 0.01;
