import type { IncomingMessage } from 'node:http';

import type { BodyRoom } from './body-memory.js';

/** A request's body, or why there is none. */
export type ReadBody =
  | { readonly kind: 'body'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  /** The rest of the body is read and thrown away, so that the connection can be used again. */
  | { readonly kind: 'no-room' }
  | { readonly kind: 'disconnected' };

/** Collects the parts of a body; keeps a body of a known length in one piece from the start. */
function createBodyParts(length: number | undefined) {
  let whole: Buffer | undefined;
  const parts: Buffer[] = [];
  let size = 0;
  return {
    size: () => size,
    add(chunk: Buffer): void {
      if (length === undefined) parts.push(chunk);
      else if (chunk.length === length) whole = chunk;
      else chunk.copy((whole ??= Buffer.allocUnsafe(length)), size);
      size += chunk.length;
    },
    body(): Buffer | undefined {
      if (size === 0) return undefined;
      return whole?.subarray(0, size) ?? Buffer.concat(parts);
    },
  };
}

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
    const parts = createBodyParts(length);
    const stop = (kind: 'too-large' | 'no-room') => {
      req.removeAllListeners('data');
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
      else if (!room.grow(size)) stop('no-room');
      else parts.add(chunk);
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
