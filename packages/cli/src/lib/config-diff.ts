import { isDeepStrictEqual } from 'node:util';

/** One difference between two configurations. */
export interface Change {
  /** Path of the field; list entries appear by their `id`, `name` or `key`, else by index. */
  readonly path: string;
  /** Previous value; absent if the field was added. */
  readonly before?: unknown;
  /** New value; absent if the field was removed. */
  readonly after?: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function entryName(entry: unknown, index: number): string {
  if (!isObject(entry)) return String(index);
  const name = entry.id ?? entry.name ?? entry.key;
  return typeof name === 'string' ? name : String(index);
}

/**
 * Converts a list to an object with a field per entry, so that an entry is compared with the entry
 * of the same name even if the order changed; returns other objects unchanged.
 */
function fieldsOf(value: Fields): Fields {
  if (!Array.isArray(value)) return value;
  return Object.fromEntries(value.map((entry, index) => [entryName(entry, index), entry]));
}

/** Reports a change in the order of the entries that both lists contain. */
function diffOrder(before: unknown, after: unknown, path: string): Change[] {
  if (!Array.isArray(before) || !Array.isArray(after)) return [];
  const oldNames = before.map(entryName);
  const newNames = after.map(entryName);
  const oldOrder = oldNames.filter((name) => newNames.includes(name));
  const newOrder = newNames.filter((name) => oldNames.includes(name));
  if (isDeepStrictEqual(oldOrder, newOrder)) return [];
  return [{ path: `${path} (order)`, before: oldOrder, after: newOrder }];
}

/**
 * Lists the differences between two JSON values.
 *
 * @param path Path of the two values; empty for whole configurations.
 */
export function diffConfig(before: unknown, after: unknown, path = ''): Change[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (before === undefined) return [{ path, after }];
  if (after === undefined) return [{ path, before }];
  if (!isObject(before) || !isObject(after)) return [{ path, before, after }];
  const oldFields = fieldsOf(before);
  const newFields = fieldsOf(after);
  const names = [...new Set([...Object.keys(oldFields), ...Object.keys(newFields)])];
  const changes = names.flatMap((name) =>
    diffConfig(oldFields[name], newFields[name], path === '' ? name : `${path}.${name}`),
  );
  return [...changes, ...diffOrder(before, after, path)];
}
