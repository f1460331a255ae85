import type { KeySpan } from '@boragepoint/platform';

import type { LoadMap, LoadProfile } from './load-map.js';

/** A server that may own keys. */
export interface PlannedServer {
  readonly id: string;
  /** Requests per second, or any unit that is the same for all servers. */
  readonly capacity: number;
  /** Relative standard deviation of the capacity, if it is measured. */
  readonly deviation?: number;
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
  /**
   * The same while a server has far more load than its share, as a run of hot keys causes; at least
   * `maxMoves`.
   */
  readonly maxUrgentMoves?: number;
  /** How uneven the load of servers may be; `pairs` unless it is stated. */
  readonly evenness?: Evenness;
}

/**
 * What is compared to find uneven load: the most and the least used server with each other, or each
 * server with the mean. Among many servers the extremes always differ by chance.
 */
export type Evenness = 'pairs' | 'mean';

/** Tolerance of a comparison of two servers, as a share of the mean. */
const PAIR_TOLERANCE = 0.2;
/** Number of standard deviations by which two servers must differ. */
const SIGNIFICANT_PAIR_DEVIATIONS = 2.5;

/** A server is balanced while its utilization exceeds the mean by less than this share of it. */
const MAX_EXCESS = 0.15;
/** The same for a utilization below the mean; an idle server harms no request. */
const MAX_DEFICIT = 0.3;
/**
 * Number of standard deviations by which a utilization must differ from the mean. A higher value
 * leaves the load less even, a lower one causes more moves.
 */
const SIGNIFICANT_MEAN_DEVIATIONS = 2;
/** Utilization, as a multiple of the mean, from which a server needs relief at once. */
const URGENT_EXCESS = 1.5;
/** Utilization, as a multiple of the mean, up to which a server may be used to relieve another. */
const MAX_RELIEF = 1.25;
/** Smallest load worth a move, as a weight in recent requests. */
const MIN_MOVED_WEIGHT = 1;
/** The same as a share of the load that the new owner should carry in total. */
const MIN_MOVED_SHARE = 0.05;
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

/** A range and the part of the load profile that lies in it. */
interface LoadedRange extends PlannedRange {
  /** Index of its first key in the profile, and of the first key after it. */
  readonly from: number;
  readonly to: number;
  readonly weight: number;
}

const utilization = (bin: Bin) => bin.load / bin.capacity;

/**
 * Returns the variance of a server's utilization if its requests arrive at random and its capacity is
 * a measurement. An exponentially decaying count has half the variance of a plain count with the same
 * mean.
 */
const varianceOf = (bin: Bin) =>
  bin.load / 2 / bin.capacity ** 2 + (utilization(bin) * (bin.deviation ?? 0)) ** 2;

/** Returns whether a utilization differs from the mean by more than is tolerated and random. */
function isUneven(bin: Bin, mean: number): boolean {
  const excess = utilization(bin) - mean;
  const tolerated = mean * (excess > 0 ? MAX_EXCESS : MAX_DEFICIT);
  const random = Math.sqrt(varianceOf(bin)) * SIGNIFICANT_MEAN_DEVIATIONS;
  return Math.abs(excess) >= Math.max(tolerated, random);
}

/** Returns whether two servers differ by more than is tolerated and random. */
function isUnevenPair(busiest: Bin, idlest: Bin, mean: number): boolean {
  const difference = utilization(busiest) - utilization(idlest);
  const deviation = Math.sqrt(varianceOf(busiest) + varianceOf(idlest));
  const random = deviation * SIGNIFICANT_PAIR_DEVIATIONS;
  return difference >= Math.max(mean * PAIR_TOLERANCE, random);
}

/** A server to relieve and the one that takes over load. */
interface Relief {
  readonly target: Bin;
  readonly isUrgent: boolean;
  /** Smallest load worth a move. */
  readonly minWeight: number;
}

/** Finds what relieves the most used server; `undefined` if the load is even enough. */
function findRelief(
  evenness: Evenness,
  busiest: Bin,
  bins: readonly Bin[],
  mean: number,
): Relief | undefined {
  const idlest = largestBin(bins, (it) => -utilization(it));
  if (!idlest || busiest === idlest) return undefined;
  if (evenness === 'pairs') {
    if (!isUnevenPair(busiest, idlest, mean)) return undefined;
    return { target: idlest, isUrgent: false, minWeight: MIN_MOVED_WEIGHT };
  }
  const isOverused = isUneven(busiest, mean) && utilization(busiest) > mean;
  if (!isOverused && !isUneven(idlest, mean)) return undefined;
  const roomiest = largestBin(bins, (it) => mean * it.capacity - it.load);
  const target = isOverused ? roomiest : idlest;
  if (!target || target === busiest) return undefined;
  return {
    target,
    isUrgent: isOverused && utilization(busiest) > mean * URGENT_EXCESS,
    minWeight: Math.max(MIN_MOVED_WEIGHT, mean * target.capacity * MIN_MOVED_SHARE),
  };
}

/** Returns a range with its part of the profile. */
function loadedRange(range: PlannedRange, { sums, indexFrom }: LoadProfile): LoadedRange {
  const { first, last, owner, movable } = range;
  const from = indexFrom(first);
  const to = indexFrom(last + 1);
  return { first, last, owner, movable, from, to, weight: (sums[to] ?? 0) - (sums[from] ?? 0) };
}

/**
 * Returns the parts of a range that could move and whose weight is closest to the wanted one: the
 * whole, and the parts on either side of the nearest gaps between keys.
 */
function candidatesOf(
  range: LoadedRange,
  { keys, sums }: LoadProfile,
  wanted: number,
): MoveCandidate[] {
  const { first, last, from, to, weight } = range;
  const candidates: MoveCandidate[] = [{ first, last, weight }];
  const before = (index: number) => (sums[index] ?? 0) - (sums[from] ?? 0);
  /** Index of the first key in the range before which at least this much weight lies. */
  function indexAt(target: number): number {
    let [low, high] = [from + 1, to];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (before(middle) >= target) high = middle;
      else low = middle + 1;
    }
    return low;
  }
  for (const target of [wanted, weight - wanted]) {
    const nearest = indexAt(target);
    for (const index of [nearest - 1, nearest]) {
      if (index <= from || index >= to) continue;
      const cut = ((keys[index - 1] ?? 0) + (keys[index] ?? 0)) >> 1;
      candidates.push({ first, last: cut, weight: before(index) });
      candidates.push({ first: cut + 1, last, weight: weight - before(index) });
    }
  }
  return candidates;
}

/** Returns what is left of a range after a part of it has moved away. */
function remaindersOf(range: LoadedRange, moved: KeySpan, profile: LoadProfile): LoadedRange[] {
  const left = { ...range, last: moved.first - 1 };
  const right = { ...range, first: moved.last + 1 };
  return [left, right].filter((it) => it.first <= it.last).map((it) => loadedRange(it, profile));
}

function bestCandidate(
  candidates: readonly MoveCandidate[],
  wanted: number,
  minWeight: number,
  maxWeight: number,
): MoveCandidate | undefined {
  let best: MoveCandidate | undefined;
  for (const it of candidates) {
    if (it.weight < minWeight || it.weight > maxWeight) continue;
    if (!best || Math.abs(it.weight - wanted) < Math.abs(best.weight - wanted)) best = it;
  }
  return best;
}

/** Returns the keys whose load reaches a weight, the hottest first. */
function keysAbove(
  ranges: readonly LoadedRange[],
  { keys, sums }: LoadProfile,
  minWeight: number,
): { range: LoadedRange; key: number; weight: number }[] {
  const found: { range: LoadedRange; key: number; weight: number }[] = [];
  for (const range of ranges) {
    for (let index = range.from; index < range.to; index += 1) {
      const weight = (sums[index + 1] ?? 0) - (sums[index] ?? 0);
      if (weight >= minWeight) found.push({ range, key: keys[index] ?? 0, weight });
    }
  }
  return found.sort((a, b) => b.weight - a.weight);
}

/** Takes a part of a range away from its owner, and leaves the rest among the movable ranges. */
function moveSpan(
  movableRanges: LoadedRange[],
  source: LoadedRange,
  moved: MoveCandidate,
  from: Bin,
  to: Bin,
  profile: LoadProfile,
): PlannedMove {
  const rest = remaindersOf(source, moved, profile);
  movableRanges.splice(movableRanges.indexOf(source), 1, ...rest);
  from.load -= moved.weight;
  to.load += moved.weight;
  return { first: moved.first, last: moved.last, to: to.id };
}

/**
 * Moves each key whose load alone exceeds its owner's share to the fastest server, where the most
 * of its requests can be served. Removes the moved keys from `movableRanges`.
 */
function placeHotKeys(
  movableRanges: LoadedRange[],
  bins: readonly Bin[],
  mean: number,
  profile: LoadProfile,
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  /** Ids of the servers that a hot key stays at or moves to; no further hot key moves to them. */
  const serversWithHotKey = new Set<string>();
  const fastestFirst = [...bins].sort((a, b) => b.capacity - a.capacity);
  const binOf = new Map(bins.map((it) => [it.id, it]));
  const slowest = fastestFirst.at(-1)?.capacity ?? 0;
  for (const { range, key, weight } of keysAbove(
    movableRanges,
    profile,
    mean * slowest * HOT_KEY_SHARE,
  )) {
    const owner = binOf.get(range.owner ?? '');
    if (!owner || weight < mean * owner.capacity * HOT_KEY_SHARE) break;
    const fastest = fastestFirst.find((it) => !serversWithHotKey.has(it.id));
    if (!fastest) break;
    const isFaster = fastest.capacity > owner.capacity * MIN_SPEEDUP;
    serversWithHotKey.add(isFaster ? fastest.id : owner.id);
    if (!isFaster || !movableRanges.includes(range)) continue;
    const span = { first: key, last: key, weight };
    moves.push(moveSpan(movableRanges, range, span, owner, fastest, profile));
  }
  return moves;
}

/** Returns the bin for which a figure is largest. */
function largestBin(bins: readonly Bin[], figureOf: (bin: Bin) => number): Bin | undefined {
  let found: Bin | undefined;
  let largest = -Infinity;
  for (const bin of bins) {
    const figure = figureOf(bin);
    if (figure <= largest) continue;
    found = bin;
    largest = figure;
  }
  return found;
}

/** Places ranges without an owner at the least used servers. */
function placeUnowned(unowned: LoadedRange[], bins: readonly Bin[]): PlannedMove[] {
  const moves: PlannedMove[] = [];
  unowned.sort((a, b) => b.weight - a.weight);
  for (const { first, last, weight } of unowned) {
    const bin = largestBin(bins, (it) => -utilization(it));
    if (!bin) break;
    // A minimum weight for each range spreads ranges without load over all servers.
    bin.load += Math.max(weight, NEGLIGIBLE_RANGE_WEIGHT);
    moves.push({ first, last, to: bin.id });
  }
  return moves;
}

/**
 * Moves parts of the most used server's ranges to the server with the most room, repeatedly. A part
 * is as large as the surplus of the one and the room of the other, so that a run of hot keys is cut
 * into as many pieces as it needs in one plan.
 */
function balanceLoad(
  input: PlanInput,
  movableRanges: LoadedRange[],
  bins: readonly Bin[],
  mean: number,
  profile: LoadProfile,
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  const { maxMoves, maxUrgentMoves = maxMoves, evenness = 'pairs' } = input;
  const exhausted = new Set<Bin>();
  const roomOf = (bin: Bin) => mean * bin.capacity - bin.load;
  const reliefOf = (bin: Bin) => mean * MAX_RELIEF * bin.capacity - bin.load;
  while (moves.length < Math.max(maxMoves, maxUrgentMoves)) {
    const busiest = largestBin(
      bins.filter((it) => !exhausted.has(it)),
      utilization,
    );
    const relief = busiest && findRelief(evenness, busiest, bins, mean);
    if (!relief) break;
    const { target, isUrgent, minWeight } = relief;
    if (!isUrgent && moves.length >= maxMoves) break;
    const wanted = Math.min(-roomOf(busiest), roomOf(target));
    const own = movableRanges.filter((it) => it.owner === busiest.id);
    const found = bestCandidate(
      own.flatMap((it) => candidatesOf(it, profile, wanted)),
      wanted,
      minWeight,
      Math.max(wanted * MAX_OVERSHOOT, isUrgent ? reliefOf(target) : 0),
    );
    const source = found && own.find((it) => it.first <= found.first && it.last >= found.last);
    if (!found || !source) {
      exhausted.add(busiest);
      continue;
    }
    moves.push(moveSpan(movableRanges, source, found, busiest, target, profile));
  }
  return moves;
}

/**
 * Plans moves that even out the utilization of servers by recent load. Ranges without an owner go
 * to the least used servers first. Then parts of the most used servers' ranges go to the servers
 * with the most room. A single hot key can't be split, so its neighbours move away from it instead.
 */
export function planMoves(input: PlanInput): PlannedMove[] {
  const bins: Bin[] = input.servers.map((it) => ({ ...it, load: 0 }));
  const binOf = new Map(bins.map((it) => [it.id, it]));
  if (bins.length === 0) return [];
  const profile = input.load.profile();
  const ranges = input.ranges.map((it) => loadedRange(it, profile));
  for (const range of ranges) {
    const bin = binOf.get(range.owner ?? '');
    if (bin) bin.load += range.weight;
  }
  const movable = ranges.filter((it) => it.movable);
  const isOwned = (it: LoadedRange) => binOf.has(it.owner ?? '');
  const moves = placeUnowned(
    movable.filter((it) => !isOwned(it)),
    bins,
  );
  if (input.maxMoves === 0) return moves;
  const owned = movable.filter(isOwned);
  const totalCapacity = bins.reduce((sum, it) => sum + it.capacity, 0);
  const mean = bins.reduce((sum, it) => sum + it.load, 0) / totalCapacity;
  moves.push(...placeHotKeys(owned, bins, mean, profile));
  moves.push(...balanceLoad(input, owned, bins, mean, profile));
  return moves;
}

/** Minimum weight of a range when it is placed, for ranges without recent requests. */
const NEGLIGIBLE_RANGE_WEIGHT = 0.01;
