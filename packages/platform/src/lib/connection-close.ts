import { Socket } from 'node:net';

/** Why a listener closes a connection. */
export type CloseReason =
  'last-answer' | 'idle-at-stop' | 'idle-timeout' | 'malformed-request' | 'body-refused' | 'exit';

/** What became of a connection that a listener closed. */
export interface ClosedConnection {
  readonly reason: CloseReason;
  /** Bytes of answers that were never handed to the operating system. */
  readonly unsentBytes: number;
  /** Bytes that arrived after the close was decided. */
  readonly lateBytes: number;
  /** Requests that were read and not taken, because an earlier answer closes the connection. */
  readonly requestsNotTaken: number;
  /** Time from the decision to the end, in milliseconds. */
  readonly forMs: number;
  /** What ended the connection: the peer, or a bound of the listener. */
  readonly endedBy: 'peer' | 'time' | 'number' | 'exit';
}

/** Closes the connections of a listener. */
export interface ConnectionCloser {
  /** Closes a connection once its answers are sent. */
  close(socket: Socket, reason: CloseReason): void;
  isClosing(socket: Socket): boolean;
  /** Notes a request that was read and is not taken. */
  noteNotTaken(socket: Socket): void;
  /** Reports connections that are still open when the process ends. */
  reportExit(open: Iterable<Socket>): void;
}

interface Closing {
  readonly reason: CloseReason;
  readonly since: number;
  readonly bytesReadBefore: number;
}

/** Dependencies of a closer. */
export interface ConnectionCloserContext {
  /** Monotonic time in milliseconds. */
  now(): number;
  onClosed(closed: ClosedConnection): void;
}

/** Creates the closer of one listener. */
export function createConnectionCloser(ctx: ConnectionCloserContext): ConnectionCloser {
  const closing = new Map<Socket, Closing>();
  const notTaken = new WeakMap<Socket, number>();

  function report(socket: Socket, endedBy: ClosedConnection['endedBy'], known?: Closing): void {
    ctx.onClosed({
      reason: known?.reason ?? 'exit',
      unsentBytes: socket.writableLength,
      lateBytes: known ? socket.bytesRead - known.bytesReadBefore : 0,
      requestsNotTaken: notTaken.get(socket) ?? 0,
      forMs: known ? ctx.now() - known.since : 0,
      endedBy,
    });
  }

  return {
    close(socket, reason) {
      if (socket.destroyed || closing.has(socket)) return;
      const known = { reason, since: ctx.now(), bytesReadBefore: socket.bytesRead };
      closing.set(socket, known);
      socket.once('close', () => {
        closing.delete(socket);
        report(socket, 'peer', known);
      });
      Socket.prototype.destroySoon.call(socket);
    },
    isClosing: (socket) => closing.has(socket),
    noteNotTaken(socket) {
      notTaken.set(socket, (notTaken.get(socket) ?? 0) + 1);
    },
    reportExit(open) {
      for (const socket of open) report(socket, 'exit', closing.get(socket));
    },
  };
}
