/** Groups items by name, in the order of each group's first item. @internal */
export function groupBy<T, K>(items: readonly T[], nameOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const name = nameOf(item);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [item]);
    else group.push(item);
  }
  return groups;
}
