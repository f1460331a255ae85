/** Number of each distinct part seen so far, by its text. */
const numberByText = new Map<string, number>();
/** Caches the numbers by object, since successive states share their unchanged parts. */
const numberByPart = new WeakMap<object, number>();

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

function numberOf(part: object): number {
  const found = numberByPart.get(part);
  if (found !== undefined) return found;
  const text = textOfParts(part);
  const number = numberByText.get(text) ?? numberByText.size;
  numberByText.set(text, number);
  numberByPart.set(part, number);
  return number;
}
