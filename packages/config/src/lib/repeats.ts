/** An item whose value an earlier item has too. @internal */
export interface Repeat<T> {
  readonly item: T;
  readonly index: number;
  readonly value: string;
}

/** Finds the items whose value an earlier item has too. @internal */
export function findRepeats<T>(items: readonly T[], valueOf: (item: T) => string): Repeat<T>[] {
  const seen = new Set<string>();
  const repeats: Repeat<T>[] = [];
  for (const [index, item] of items.entries()) {
    const value = valueOf(item);
    if (seen.has(value)) repeats.push({ item, index, value });
    seen.add(value);
  }
  return repeats;
}
