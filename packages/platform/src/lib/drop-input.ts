import type { Socket } from 'node:net';

/** Most that is read and dropped from one connection, in bytes; the rest stays unread. */
const MAX_DROPPED_BYTES = 64 << 20;

/**
 * Reads on. The stream may take a read for pending that the HTTP server stopped at the handle, so
 * that `resume` alone would not start it again.
 */
function readOn(socket: Socket): void {
  if (socket.destroyed) return;
  socket.resume();
  socket._read(0);
}

const dropping = new WeakSet<Socket>();

/**
 * Takes a connection of an HTTP server away from its parser: what arrives from now on is read and
 * dropped, and never becomes a request.
 */
export function dropInput(socket: Socket): void {
  if (dropping.has(socket)) return;
  dropping.add(socket);
  const bytesBefore = socket.bytesRead;
  const isFull = () => socket.bytesRead - bytesBefore > MAX_DROPPED_BYTES;
  socket.removeAllListeners('data');
  // A listener of its own also takes the connection's handle back from the parser.
  socket.on('data', () => {
    if (isFull()) socket.pause();
  });
  // The HTTP server pauses a connection whose answers pile up, and resumes it only while it is open.
  socket.on('pause', () => {
    process.nextTick(() => {
      if (!isFull()) readOn(socket);
    });
  });
  readOn(socket);
}
