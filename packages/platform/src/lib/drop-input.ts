import type { Socket } from 'node:net';

/** Most that is read and dropped from one connection, in bytes; the rest stays unread. */
const MAX_DROPPED_BYTES = 64 << 20;

const dropping = new WeakSet<Socket>();

/**
 * Takes a connection of an HTTP server away from its parser: what arrives from now on is read and
 * dropped, and never becomes a request.
 */
export function dropInput(socket: Socket): void {
  if (dropping.has(socket)) return;
  dropping.add(socket);
  const bytesBefore = socket.bytesRead;
  socket.removeAllListeners('data');
  // A listener of its own also takes the connection's handle back from the parser.
  socket.on('data', () => {
    if (socket.bytesRead - bytesBefore > MAX_DROPPED_BYTES) socket.pause();
  });
  socket.resume();
}
