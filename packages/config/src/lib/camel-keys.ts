/** Converts a `snake_case` name to `camelCase`. @internal */
export type CamelCase<S extends string> = S extends `${infer Head}_${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;

/** An object type with its `snake_case` names converted to `camelCase`. @internal */
export type CamelKeys<T> = { [K in keyof T & string as CamelCase<K>]: T[K] };

function camelCase(name: string): string {
  return name.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase());
}

/** Renames the fields of one object from `snake_case` to `camelCase`. @internal */
export function camelKeys<T extends object>(value: T): CamelKeys<T> {
  const entries = Object.entries(value).map(([name, it]) => [camelCase(name), it] as const);
  return Object.fromEntries(entries) as CamelKeys<T>;
}
