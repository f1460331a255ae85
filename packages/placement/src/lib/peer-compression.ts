import { gunzipSync, gzipSync } from 'node:zlib';

import { compressionGzip } from '@connectrpc/connect-node';

/**
 * Largest message, in bytes, that is compressed or decompressed at once: larger ones would delay
 * other work.
 */
const MAX_IMMEDIATE_BYTES = 128 * 1_024;

function decompressed(bytes: Uint8Array, maxBytes: number): Uint8Array<ArrayBuffer> | undefined {
  try {
    return new Uint8Array(gunzipSync(bytes, { maxOutputLength: maxBytes }));
  } catch {
    return undefined;
  }
}

/**
 * Compression of messages between routers. Routers report all the time, and for a message of this
 * size the way through Node.js' thread pool costs more than the compression.
 */
export const peerCompression: typeof compressionGzip = {
  name: compressionGzip.name,
  compress(bytes) {
    if (bytes.length > MAX_IMMEDIATE_BYTES) return compressionGzip.compress(bytes);
    return Promise.resolve(new Uint8Array(gzipSync(bytes)));
  },
  decompress(bytes, readMaxBytes) {
    const maxBytes = Math.min(readMaxBytes, MAX_IMMEDIATE_BYTES);
    const whole = bytes.length > 0 ? decompressed(bytes, maxBytes) : undefined;
    // What is larger or invalid is left to the library, which reports it.
    return whole ? Promise.resolve(whole) : compressionGzip.decompress(bytes, readMaxBytes);
  },
};
