/** Numbers of the parts that were met, by their text. */
const numbers = new Map<string, number>();
/** Numbers of the parts, which steps share with the states before them. */
const known = new WeakMap<object, number>();

/**
 * Returns a short text that is equal for equal states. Equal parts have the same number in it, so
 * that only parts which a step has changed are spelt out. @internal
 */
export function stateKey(state: object): string {
  return textOf(state);
}

function textOf(parts: object): string {
  let text = '';
  for (const part of Object.values(parts)) text += partText(part) + ',';
  return text;
}

function partText(part: unknown): string {
  if (typeof part !== 'object' || part === null) return String(part);
  return `#${numberOf(part)}`;
}

function numberOf(part: object): number {
  const found = known.get(part);
  if (found !== undefined) return found;
  const text = textOf(part);
  const number = numbers.get(text) ?? numbers.size;
  numbers.set(text, number);
  known.set(part, number);
  return number;
}
