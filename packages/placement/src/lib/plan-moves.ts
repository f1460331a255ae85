import type { KeySpan } from '@boragepoint/platform';

import type { KeyLoad, LoadMap } from './load-map.js';

/** A server that may own keys. */
export interface PlannedServer {
  readonly id: string;
  /** Requests per second, or any unit that is the same for all servers. */
  readonly capacity: number;
}

/** A range as input of a plan. */
export interface PlannedRange extends KeySpan {
  readonly owner: string | undefined;
  /** False while the range must not be moved; its load counts nevertheless. */
  readonly movable: boolean;
}

/** A span that should get another owner; it lies within one range. */
export interface PlannedMove extends KeySpan {
  readonly to: string;
}

/** Input of {@link planMoves}. */
export interface PlanInput {
  readonly servers: readonly PlannedServer[];
  readonly ranges: readonly PlannedRange[];
  readonly load: LoadMap;
  /** Maximum number of moves that balance load; with 0, only ranges without an owner are placed. */
  readonly maxMoves: number;
}

/** Differences in utilization below this share of the mean are not balanced. */
const UTILIZATION_TOLERANCE = 0.2;
/**
 * Differences in utilization below this number of standard deviations are not balanced: equal loads
 * differ as much by chance.
 */
const SIGNIFICANT_DEVIATIONS = 2.5;
/** Smallest load worth a move, as a weight in recent requests. */
const MIN_MOVED_WEIGHT = 1;
/** Factor by which a moved load may exceed the wanted one. */
const MAX_OVERSHOOT = 1.25;

/** A key is hot from this share of the load that its owner should carry in total. */
const HOT_KEY_SHARE = 1;
/** Factor by which another server must be faster for a hot key to move there. */
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
 * Returns the variance of a server's utilization if its requests arrive at random. An exponentially
 * decaying count has half the variance of a plain count with the same mean.
 */
const varianceOf = (bin: Bin) => bin.load / 2 / bin.capacity ** 2;

/**
 * Returns whether the difference in utilization exceeds both the tolerance and random variation.
 */
function isUneven(busiest: Bin, idlest: Bin, mean: number): boolean {
  const difference = utilization(busiest) - utilization(idlest);
  const deviation = Math.sqrt(varianceOf(busiest) + varianceOf(idlest));
  return difference >= Math.max(mean * UTILIZATION_TOLERANCE, deviation * SIGNIFICANT_DEVIATIONS);
}

function weightOf(loads: readonly KeyLoad[]): number {
  return loads.reduce((sum, it) => sum + it.weight, 0);
}

/**
 * Returns the parts of a range that could move: the whole, and the parts on either side of each gap
 * between keys.
 */
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

/** Returns what is left of a range after a part of it has moved away. */
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
 * Moves each key whose load alone exceeds its owner's share to the fastest server, where the most
 * of its requests can be served. Removes the moved keys from `movableRanges`.
 */
function placeHotKeys(
  movableRanges: LoadedRange[],
  bins: readonly Bin[],
  mean: number,
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  /** Ids of the servers that a hot key stays at or moves to; no further hot key moves to them. */
  const serversWithHotKey = new Set<string>();
  const fastestFirst = [...bins].sort((a, b) => b.capacity - a.capacity);
  const hot = movableRanges
    .flatMap((range) => range.loads.map((load) => ({ range, load })))
    .sort((a, b) => b.load.weight - a.load.weight);
  for (const { range, load } of hot) {
    const owner = bins.find((it) => it.id === range.owner);
    if (!owner || load.weight < mean * owner.capacity * HOT_KEY_SHARE) break;
    const fastest = fastestFirst.find((it) => !serversWithHotKey.has(it.id));
    if (!fastest) break;
    const isFaster = fastest.capacity > owner.capacity * MIN_SPEEDUP;
    serversWithHotKey.add(isFaster ? fastest.id : owner.id);
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
 * Plans moves that even out the utilization of servers by recent load. Ranges without an owner go
 * to the least used servers first. Then a part of the most used server's ranges goes to the least
 * used server, repeatedly. A single hot key can't be split, so its neighbours move away from it
 * instead.
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
  // A minimum weight for each range spreads ranges without load over all servers.
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

/** Minimum weight of a range when it is placed, for ranges without recent requests. */
const NEGLIGIBLE_RANGE_WEIGHT = 0.01;
