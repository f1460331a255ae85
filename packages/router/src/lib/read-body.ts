import type { IncomingMessage } from 'node:http';

import type { BodyRoom } from './body-memory.js';
import { createBodyParts } from '@boragepoint/platform';

/** A request's body, or why there is none. */
export type ReadBody =
  | { readonly kind: 'body'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  /** The rest of the body is read and thrown away, so that the connection can be used again. */
  | { readonly kind: 'no-room' }
  | { readonly kind: 'disconnected' };

/** Size of the buffer of a body of unknown length at first, in bytes. */
const FIRST_BUFFER_BYTES = 4 * 1_024;

/** Returns the length that a request states for its body; `undefined` if it states none. */
function statedLength(req: IncomingMessage): number | undefined {
  const stated = req.headers['content-length'];
  return stated === undefined ? undefined : Number(stated);
}

/**
 * Reads the body of a request; stops as soon as it exceeds `maxBytes`, or as there is no room for
 * it.
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
  room: BodyRoom,
): Promise<ReadBody> {
  return new Promise((resolve) => {
    const length = statedLength(req);
    const firstBytes = length ?? FIRST_BUFFER_BYTES;
    const parts = createBodyParts({ length, firstBytes, maxBytes }, room);
    const stop = (kind: 'too-large' | 'no-room') => {
      req.removeAllListeners('data');
      parts.drop();
      if (kind === 'no-room') req.resume();
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
