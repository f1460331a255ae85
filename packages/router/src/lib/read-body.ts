import type { IncomingMessage } from 'node:http';

import { createBodyParts } from '@boragepoint/platform';

import type { BodyRoom } from './body-memory.js';
import type { ChunkCount } from './chunk-allowance.js';

/** A request's body, or why there is none. */
export type ReadBody =
  | { readonly kind: 'body'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  /** Its chunks are tiny, and other bodies of tiny chunks are being read. */
  | { readonly kind: 'too-many-chunks' }
  /**
   * The rest of a body of stated length is read and thrown away, so that the connection can be used
   * again. A chunked body has no such bound and isn't read on.
   */
  | { readonly kind: 'no-room' }
  | { readonly kind: 'disconnected' };

/** Size of the buffer of a body of unknown length at first, in bytes. */
const FIRST_BUFFER_BYTES = 4 * 1_024;

/** Returns the length that a request states for its body; `undefined` if it states none. */
function statedLength(req: IncomingMessage): number | undefined {
  const stated = req.headers['content-length'];
  return stated === undefined ? undefined : Number(stated);
}

/** What the body of a request may take. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly room: BodyRoom;
  /** Counts the chunks of a body without a stated length. */
  readonly chunks: ChunkCount;
}

/**
 * Reads the body of a request; stops as soon as it exceeds `maxBytes`, or as there is no room for
 * it.
 */
export function readBody(
  req: IncomingMessage,
  { maxBytes, room, chunks }: BodyLimits,
): Promise<ReadBody> {
  return new Promise((resolve) => {
    const length = statedLength(req);
    const firstBytes = length ?? FIRST_BUFFER_BYTES;
    const parts = createBodyParts({ length, firstBytes, maxBytes }, room);
    const stop = (kind: 'too-large' | 'too-many-chunks' | 'no-room') => {
      req.removeAllListeners('data');
      parts.drop();
      if (kind === 'no-room' && length !== undefined) req.resume();
      else req.pause();
      resolve({ kind });
    };
    if (length !== undefined && length <= maxBytes && !room.grow(length)) {
      stop('no-room');
      return;
    }
    req.on('data', (chunk: Buffer) => {
      const size = parts.size() + chunk.length;
      if (size > maxBytes || (length !== undefined && length > maxBytes)) stop('too-large');
      else if (length === undefined && !chunks.note(size)) stop('too-many-chunks');
      else if (!parts.add(chunk)) stop('no-room');
    });
    req.on('end', () => {
      resolve({ kind: 'body', body: parts.body() });
    });
    req.on('close', () => {
      resolve({ kind: 'disconnected' });
    });
    req.on('error', () => {
      resolve({ kind: 'disconnected' });
    });
  });
}
