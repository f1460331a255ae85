/** An item that has the same value as an earlier one. @internal */
export interface Duplicate<T> {
  readonly item: T;
  readonly index: number;
  readonly value: string;
}

/** Finds the items that have the same value as an earlier one. @internal */
export function findDuplicates<T>(
  items: readonly T[],
  valueOf: (item: T) => string,
): Duplicate<T>[] {
  const seen = new Set<string>();
  const duplicates: Duplicate<T>[] = [];
  for (const [index, item] of items.entries()) {
    const value = valueOf(item);
    if (seen.has(value)) duplicates.push({ item, index, value });
    seen.add(value);
  }
  return duplicates;
}
