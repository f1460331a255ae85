/** Numbers of the parts that were met, by their text. */
const numberByText = new Map<string, number>();
/** Numbers of the parts, which steps share with the states before them. */
const numberByPart = new WeakMap<object, number>();

/**
 * Returns a short text that is equal for equal states. Equal parts have the same number in it, so
 * that only parts which a step has changed are spelt out. @internal
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
