import type { Socket } from 'node:net';

/** Tells how connections end. */
export interface ConnectionEnds {
  /** Watches a new connection; has to come before the HTTP library listens to it. */
  watch(socket: Socket): void;
  /**
   * Whether the connection whose end is being handled ended in order, so that all bytes that the
   * other side wrote have arrived. It has to be called in the turn in which the HTTP library
   * reports the end.
   */
  confirmEnd(): Promise<boolean>;
}

/**
 * Whether a failed write follows a close in order. A reset that comes after the close takes no
 * bytes away; the operating system reports it as a broken pipe.
 */
const cameAfterClose = (err: NodeJS.ErrnoException) => err.code === 'EPIPE';

/**
 * Writes nothing, which sends nothing, and fails if the connection was reset: where the last bytes
 * and a reset arrive together, the stream ends without an error.
 */
function endedInOrder(socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.write('', (err) => {
      resolve(!err || cameAfterClose(err));
      // The connection stays half open otherwise, unless the HTTP library has closed it.
      if (!socket.destroyed) socket.end();
    });
  });
}

/**
 * Creates the watch of connections. They have to allow to be half open: they can't be written to
 * after their end otherwise.
 */
export function createConnectionEnds(): ConnectionEnds {
  let current: Promise<boolean> | undefined;

  function handle(end: Promise<boolean>): void {
    current = end;
    queueMicrotask(() => {
      if (current === end) current = undefined;
    });
  }

  return {
    watch(socket) {
      socket.once('end', () => {
        handle(endedInOrder(socket));
      });
      socket.on('error', () => {
        handle(Promise.resolve(false));
      });
    },
    confirmEnd: () => current ?? Promise.resolve(false),
  };
}
