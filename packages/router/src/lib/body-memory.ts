const KIBIBYTE = 1 << 10;
const MEBIBYTE = 1 << 20;
/** Size up to which a body is taken whatever the others take, in bytes. */
const SMALL_BODY_BYTES = 64 * KIBIBYTE;
/** Largest total size of larger bodies, over all requests, in bytes. */
const MAX_LARGE_BODIES_BYTES = 128 * MEBIBYTE;

/** The room that one body takes; disposing of it frees the room. */
export interface BodyRoom extends Disposable {
  /** Asks for room for a body of a size in all; returns false if there is none. */
  grow(bytes: number): boolean;
}

/** Limits the memory that the bodies of all requests take together. */
export interface BodyMemory {
  begin(): BodyRoom;
}

/**
 * Creates the accounting. A body that would exceed the limit is turned away while it can still be
 * promised not to run; one alone always has room.
 */
export function createBodyMemory(maxLargeBytes = MAX_LARGE_BODIES_BYTES): BodyMemory {
  let totalBytes = 0;
  return {
    begin() {
      let ownBytes = 0;
      return {
        grow(bytes) {
          if (bytes <= SMALL_BODY_BYTES || bytes <= ownBytes) return true;
          const othersBytes = totalBytes - ownBytes;
          if (othersBytes > 0 && othersBytes + bytes > maxLargeBytes) return false;
          totalBytes = othersBytes + bytes;
          ownBytes = bytes;
          return true;
        },
        [Symbol.dispose]() {
          totalBytes -= ownBytes;
          ownBytes = 0;
        },
      };
    },
  };
}
