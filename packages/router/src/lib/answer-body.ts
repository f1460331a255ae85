import { createBodyParts } from '@boragepoint/platform';

import { type AnswerRoom, MAX_ANSWER_BYTES } from './answer-memory.js';
import { SEGMENT_BYTES, type SegmentPool } from './segment-pool.js';

/** The body of an answer as it arrives. */
export interface AnswerBody {
  /** Adds a part; one that finds no room is dropped. */
  add(part: Buffer): void;
  /** Returns the body so far. */
  whole(): Buffer;
  drop(): void;
}

/** Returns the length that an answer states for its body; `undefined` if it states none. */
function statedLength(contentLength: string | string[] | undefined): number | undefined {
  return contentLength === undefined ? undefined : Number(contentLength);
}

/**
 * Creates the body of an answer with this value of the header `content-length`. Its parts are copied:
 * a part that was kept would hold the read that it came with, and an object of the parser, however
 * small it is.
 */
export function createAnswerBody(
  contentLength: string | string[] | undefined,
  room: AnswerRoom,
  pool: SegmentPool,
): AnswerBody {
  const length = statedLength(contentLength);
  const firstBytes = Math.min(length ?? 0, SEGMENT_BYTES);
  const start = createBodyParts({ length, firstBytes, maxBytes: SEGMENT_BYTES }, room);
  const segments: Buffer[] = [];
  /** Bytes of the last segment that are used. */
  let lastBytes = SEGMENT_BYTES;

  /** Bytes that have arrived. */
  let size = 0;

  /** Room that the body takes with one more segment. */
  function grownBytes(): number {
    const bytes = start.size() + (segments.length + 1) * SEGMENT_BYTES;
    return Math.min(bytes, MAX_ANSWER_BYTES);
  }

  function lastSegment(): Buffer | undefined {
    if (lastBytes < SEGMENT_BYTES) return segments.at(-1);
    if (!room.grow(grownBytes())) return undefined;
    const next = pool.take();
    segments.push(next);
    lastBytes = 0;
    return next;
  }

  function addToSegments(part: Buffer): void {
    let offset = 0;
    while (offset < part.length) {
      const segment = lastSegment();
      if (!segment) return;
      const copied = part.copy(segment, lastBytes, offset);
      lastBytes += copied;
      offset += copied;
    }
    room.noteCopied(part.length);
  }

  function usedSegments(): Buffer[] {
    return segments.map((it, index) =>
      index === segments.length - 1 ? it.subarray(0, lastBytes) : it,
    );
  }

  return {
    add(part) {
      size += part.length;
      const leastBytes = Math.max(size, length ?? 0);
      if (leastBytes > MAX_ANSWER_BYTES) room.grow(leastBytes);
      else if (segments.length === 0 && size <= SEGMENT_BYTES) start.add(part);
      else addToSegments(part);
    },
    whole() {
      const first = start.body() ?? Buffer.alloc(0);
      return segments.length === 0 ? first : Buffer.concat([first, ...usedSegments()]);
    },
    drop() {
      start.drop();
      for (const segment of segments) pool.release(segment);
      segments.length = 0;
      lastBytes = SEGMENT_BYTES;
    },
  };
}
