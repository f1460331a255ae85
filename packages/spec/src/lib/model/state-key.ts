/** Number of each distinct part seen so far, by its text. */
const numberByText = new Map<string, number>();
/**
 * Maximum number of cached objects. The runtime tells the keys of a weak map apart by 20 bits of a
 * hash; with about a million keys, growing the map takes minutes.
 */
const MAX_CACHED = 200_000;
/** Caches the numbers by object, since successive states share their unchanged parts. */
let numberByPart = new WeakMap<object, number>();
let cached = 0;

/**
 * Returns a short text that is equal for equal states. Nested objects appear in it as numbers, and
 * equal objects have equal numbers, so only objects that a step has changed are serialized.
 * @internal
 */
export function stateKey(state: object): string {
  return textOfParts(state);
}

function textOfParts(parts: object): string {
  let text = '';
  for (const part of Object.values(parts)) text += textOfPart(part) + ',';
  return text;
}

function textOfPart(part: unknown): string {
  if (typeof part !== 'object' || part === null) return String(part);
  return `#${numberOf(part)}`;
}

function cache(part: object, number: number): void {
  if (cached >= MAX_CACHED) {
    numberByPart = new WeakMap();
    cached = 0;
  }
  cached += 1;
  numberByPart.set(part, number);
}

function numberOf(part: object): number {
  const found = numberByPart.get(part);
  if (found !== undefined) return found;
  const text = textOfParts(part);
  const number = numberByText.get(text) ?? numberByText.size;
  numberByText.set(text, number);
  cache(part, number);
  return number;
}
