/** Accounts for the memory of a body that arrives in parts. */
export interface PartsRoom {
  /** Asks for room for a body of a size in all; returns false if there is none. */
  grow(bytes: number): boolean;
  /** Notes that the buffer of so many bytes was replaced by a larger one. */
  noteReplaced(bytes: number): void;
}

/** Room of a body that only its maximum size limits. */
export const UNLIMITED_ROOM: PartsRoom = { grow: () => true, noteReplaced: () => undefined };

/** Sizes of a body that arrives in parts, in bytes. */
export interface PartsSizes {
  /** Length that was stated for the body, if one was. */
  readonly length: number | undefined;
  /** Size of the first buffer; it is larger if the first part is. */
  readonly firstBytes: number;
  /** Size beyond which a buffer only grows by the parts that arrive. */
  readonly maxBytes: number;
}

/** The parts of a body that have arrived. */
export interface BodyParts {
  size(): number;
  /** Adds a part; returns false if there is no room for it. */
  add(part: Buffer): boolean;
  drop(): void;
  /** Returns the body so far; `undefined` if nothing has arrived. */
  body(): Buffer | undefined;
}

/**
 * Collects the parts of a body in one buffer: a part that was kept would hold the whole read that it
 * came with, and an object of the parser, however small it is.
 */
export function createBodyParts(
  { length, firstBytes, maxBytes }: PartsSizes,
  room: PartsRoom,
): BodyParts {
  let whole: Buffer | undefined;
  let size = 0;

  /** Size of the buffer that a body of so many bytes needs. */
  function capacityFor(bytes: number): number {
    const known = whole?.length ?? 0;
    if (known >= bytes) return known;
    const spare = Math.min(length ?? maxBytes, maxBytes, Math.max(firstBytes, 2 * known));
    return Math.max(bytes, spare);
  }

  function bufferOf(capacity: number): Buffer {
    if (whole?.length === capacity) return whole;
    const next = Buffer.allocUnsafe(capacity);
    if (whole) {
      whole.copy(next, 0, 0, size);
      room.noteReplaced(whole.length);
    }
    whole = next;
    return next;
  }

  return {
    size: () => size,
    add(part) {
      const capacity = capacityFor(size + part.length);
      if (!room.grow(capacity)) return false;
      const isWhole = part.length === length && part.buffer.byteLength <= 2 * length;
      if (isWhole) whole = part;
      else part.copy(bufferOf(capacity), size);
      size += part.length;
      return true;
    },
    drop() {
      whole = undefined;
      size = 0;
    },
    body: () => (size === 0 ? undefined : whole?.subarray(0, size)),
  };
}
