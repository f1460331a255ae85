/** Largest value of an unsigned 32-bit field of a message. */
const MAX_UINT32 = 2 ** 32 - 1;

/**
 * Decodes a number of a message or a stored row; returns `undefined` if it is negative or so large
 * that it can't be counted exactly, and therefore not be encoded again.
 */
export function decodeCount(value: bigint): number | undefined {
  const decoded = Number(value);
  return Number.isSafeInteger(decoded) && decoded >= 0 ? decoded : undefined;
}

/** Decodes a number like {@link decodeCount}; throws a `RangeError` if it is out of range. */
export function requireCount(value: bigint): number {
  const decoded = decodeCount(value);
  if (decoded === undefined) throw new RangeError(`${value} is out of range`);
  return decoded;
}

/** Encodes a time in milliseconds in an unsigned 32-bit field, with its largest value at most. */
export function encodeMs(ms: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(ms)));
}
