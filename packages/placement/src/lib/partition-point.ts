/**
 * Returns the index of the first entry that satisfies the predicate, by binary search. The
 * predicate must hold for every entry after one for which it holds; the result is the length if it
 * holds for none.
 */
export function partitionPoint<T>(sorted: readonly T[], predicate: (entry: T) => boolean): number {
  let [low, high] = [0, sorted.length];
  while (low < high) {
    const middle = (low + high) >> 1;
    const entry = sorted[middle];
    if (entry === undefined || predicate(entry)) high = middle;
    else low = middle + 1;
  }
  return low;
}
