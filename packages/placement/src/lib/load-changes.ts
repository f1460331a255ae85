import type { KeySpan } from '@boragepoint/platform';

import { FIRST_KEY, LAST_KEY } from './key-range.js';
import type { KeyLoad, LoadMap } from './load-map.js';

/** Number of adjacent keys whose load is judged together; single keys are too noisy. */
const BLOCK_KEYS = 64;
const BLOCKS = (LAST_KEY - FIRST_KEY + 1) / BLOCK_KEYS;
/** Share of the known load by which a block must differ from it. */
const MIN_CHANGE = 0.3;
/** Number of standard deviations by which a block must differ. */
const SIGNIFICANT_DEVIATIONS = 3;
/**
 * Weight added to the bound by standard deviations: counts of a few requests are skewed and exceed
 * that bound by chance.
 */
const MIN_CHANGED_WEIGHT = 4;
/**
 * Factor for the bound of random variation of a block beside one that has risen, as hot keys come in
 * runs.
 */
const NEIGHBOUR_SENSITIVITY = 0.3;
/** Factor by which a rise that has just begun is extrapolated. */
const FIRST_EXTRAPOLATION = 2;

/** Load of one service by which its ranges are placed. */
export interface ObservedLoad {
  /** With a long half-life: what is placed by. */
  readonly smoothed: LoadMap;
  /** With a shorter half-life. */
  readonly recent: LoadMap;
  /** With a half-life of about the time between two plans. */
  readonly latest: LoadMap;
}

/** Adopts sudden changes of load. */
export interface LoadChanges {
  /**
   * Adopts the latest load of blocks of keys whose load has changed by more than random variation,
   * so that the smoothed load, whose half-life is long, follows sudden changes at once. Returns the
   * number of blocks that changed.
   */
  adopt(load: ObservedLoad): number;
}

const blockAt = (index: number): KeySpan => ({
  first: FIRST_KEY + index * BLOCK_KEYS,
  last: FIRST_KEY + (index + 1) * BLOCK_KEYS - 1,
});

const blockWeights = (load: LoadMap) =>
  Array.from({ length: BLOCKS }, (_, index) => load.weightWithin(blockAt(index)));

const sumOf = (weights: readonly number[]) => weights.reduce((sum, it) => sum + it, 0);

/** Returns whether a weight differs from the expected one by more than random variation. */
function isChanged(found: number, expected: number, sensitivity = 1): boolean {
  // A decaying count has half the variance of a plain count with the same mean.
  const deviation = Math.sqrt((expected + 1) / 2);
  const random = deviation * SIGNIFICANT_DEVIATIONS + MIN_CHANGED_WEIGHT;
  return Math.abs(found - expected) > Math.max(expected * MIN_CHANGE, random * sensitivity);
}

/** Returns by block whether its weight has changed, or that of an adjacent block has risen. */
function changedBlocks(
  found: readonly number[],
  known: readonly number[],
  unit: number,
): readonly boolean[] {
  const hasRisen = found.map((weight, index) => {
    const expected = (known[index] ?? 0) * unit;
    return weight > expected && isChanged(weight, expected);
  });
  return found.map((weight, index) => {
    const isBeside = hasRisen[index - 1] === true || hasRisen[index + 1] === true;
    const sensitivity = isBeside ? NEIGHBOUR_SENSITIVITY : 1;
    return isChanged(weight, (known[index] ?? 0) * unit, sensitivity);
  });
}

/**
 * Returns the factor between the weights of two maps, by the blocks that have not risen. A burst of
 * all traffic is thus no change, nor do the others seem to fall when some blocks rise.
 */
function unitOf(found: readonly number[], known: readonly number[]): number {
  const unitByAll = sumOf(found) / sumOf(known);
  let [foundSum, knownSum] = [0, 0];
  for (const [index, weight] of found.entries()) {
    const before = known[index] ?? 0;
    if (weight > before * unitByAll && isChanged(weight, before * unitByAll)) continue;
    foundSum += weight;
    knownSum += before;
  }
  return knownSum > 0 ? foundSum / knownSum : unitByAll;
}

/**
 * Multiplies the weights of adjacent keys, which rest on a few requests each, and moves them towards
 * their mean by the part of their variance that is random: pieces of a run of equally hot keys are
 * then cut by the number of keys, while a single hot key stands out.
 */
function withoutNoise(loads: readonly KeyLoad[], factor: number): KeyLoad[] {
  const mean = sumOf(loads.map((it) => it.weight)) / loads.length;
  const variance = sumOf(loads.map((it) => (it.weight - mean) ** 2)) / loads.length;
  const random = Math.min(variance, mean);
  const trust = variance > 0 ? 1 - random / variance : 0;
  return loads.map(({ key, weight }) => ({
    key,
    weight: (mean + (weight - mean) * trust) * factor,
  }));
}

/** Creates a tracker that has seen no load. */
export function createLoadChanges(): LoadChanges {
  /** The latest weights by block at the previous call. */
  let previous: readonly number[] = [];

  return {
    adopt({ smoothed, recent, latest }) {
      const known = blockWeights(smoothed);
      if (sumOf(known) === 0) return 0;
      const [byRecent, byLatest] = [blockWeights(recent), blockWeights(latest)];
      const [recentUnit, latestUnit] = [unitOf(byRecent, known), unitOf(byLatest, known)];
      const changedLately = changedBlocks(byLatest, known, latestUnit);
      const changedRecently = changedBlocks(byRecent, known, recentUnit);
      let changes = 0;
      for (const [index, weight] of known.entries()) {
        const span = blockAt(index);
        const [now, before] = [byLatest[index] ?? 0, previous[index] ?? 0];
        const isLatest = changedLately[index] === true;
        const slower = byRecent[index] ?? 0;
        if (!isLatest && changedRecently[index] !== true) continue;
        // The latest load lags behind a rise by the time between reports.
        const hasJustBegun = before * FIRST_EXTRAPOLATION < now;
        const rising = hasJustBegun ? now * FIRST_EXTRAPOLATION : now + Math.max(0, now - before);
        const adopted = isLatest ? rising / latestUnit : slower / recentUnit;
        changes += 1;
        if (adopted > weight && slower > 0)
          smoothed.replace(span, withoutNoise(recent.within(span), adopted / slower));
        else if (weight > 0) smoothed.scale(span, adopted / weight);
      }
      previous = byLatest;
      return changes;
    },
  };
}
