/** Place of the first entry for which a condition holds that holds for all entries behind it, too. */
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
