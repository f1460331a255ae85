const texts = new WeakMap<object, string>();

/**
 * Returns a text that is equal for equal states. The text of each part is kept, since a step shares
 * most parts of its state with the state before it. @internal
 */
export function stateKey(state: object): string {
  return textOf(state);
}

function partKey(part: unknown): string {
  if (typeof part !== 'object' || part === null) return String(part);
  let text = texts.get(part);
  if (text === undefined) {
    text = textOf(part);
    texts.set(part, text);
  }
  return text;
}

function textOf(parts: object): string {
  let text = '[';
  for (const part of Object.values(parts)) text += partKey(part) + ',';
  return text + ']';
}
