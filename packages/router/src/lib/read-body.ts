import type { IncomingMessage } from 'node:http';

/** A request's body, or why there is none. */
export type ReadBody =
  | { readonly kind: 'body'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'disconnected' };

/** Reads the body of a request; stops as soon as it exceeds `maxBytes`. */
export function readBody(req: IncomingMessage, maxBytes: number): Promise<ReadBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        req.removeAllListeners('data');
        req.pause();
        resolve({ kind: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    req.on('end', () => {
      resolve({ kind: 'body', body: size > 0 ? Buffer.concat(chunks) : undefined });
    });
    req.on('close', () => {
      resolve({ kind: 'disconnected' });
    });
    req.on('error', () => {
      resolve({ kind: 'disconnected' });
    });
  });
}
