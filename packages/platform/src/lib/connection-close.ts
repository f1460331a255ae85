import type { Socket } from 'node:net';

import { createAckEstimate } from './ack-estimate.js';
import { dropInput } from './drop-input.js';

/** Shortest time in which a peer may close its side, in milliseconds. */
const PEER_CLOSE_MS = 1_000;
/** Slowest pace at which answers that wait in this process may leave it, in bytes per second. */
const MIN_SEND_BYTES_PER_S = 16 * 1_024;
/** Time beyond that pace in which nothing needs to leave, in milliseconds. */
const MAX_SEND_PAUSE_MS = 30_000;
/** Number of closing connections beyond which the oldest is cut, unless the listener stops. */
const MAX_CLOSING = 1_000;
const MS_PER_S = 1_000;

/** Why a listener closes a connection. */
export type CloseReason =
  | 'last-answer'
  | 'idle-at-stop'
  | 'idle-timeout'
  | 'malformed-request'
  | 'body-refused'
  | 'unread'
  | 'stalled'
  | 'large-head'
  | 'exit';

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

/**
 * Closes the connections of a listener in two steps. A connection that is closed while its peer
 * still sends is reset, and the system drops what the peer has not received yet. So the sending
 * side is ended first, and what arrives is read and dropped until the peer has closed its side too,
 * or a bound has passed.
 */
export interface ConnectionCloser {
  /** Closes a connection behind what has been written to it. */
  close(socket: Socket, reason: CloseReason): void;
  /** Ends a connection at once because of a bound that passed `forMs` milliseconds after it began. */
  cut(socket: Socket, reason: CloseReason, forMs: number): void;
  isClosing(socket: Socket): boolean;
  /** From now on what arrives is dropped unread; answers can still be written. */
  stopReading(socket: Socket): void;
  /** Notes that an answer was written. */
  noteAnswer(socket: Socket): void;
  /** Notes a request that was read and is not taken. */
  noteNotTaken(socket: Socket): void;
  /** Lifts the bound on the number of closing connections: no new ones are accepted. */
  liftNumberBound(): void;
  /** Reports connections that are still open when the process ends. */
  reportExit(open: Iterable<Socket>): void;
}

interface Closing {
  readonly reason: CloseReason;
  readonly since: number;
  readonly bytesReadBefore: number;
  timer?: NodeJS.Timeout;
  endedBy: ClosedConnection['endedBy'];
  /** Set when a bound cuts the connection, because a destroyed socket forgets it. */
  unsentBytes?: number;
}

/** Dependencies of a closer. */
export interface ConnectionCloserContext {
  /** Monotonic time in milliseconds. */
  now(): number;
  onClosed(closed: ClosedConnection): void;
}

/** Creates the closer of one listener. */
export function createConnectionCloser(ctx: ConnectionCloserContext): ConnectionCloser {
  /** Closing connections, oldest first. */
  const closing = new Map<Socket, Closing>();
  const notTaken = new WeakMap<Socket, number>();
  const acks = createAckEstimate(() => ctx.now());
  let maxClosing = MAX_CLOSING;

  function report(
    socket: Socket,
    endedBy: ClosedConnection['endedBy'],
    known: Pick<ClosedConnection, 'reason' | 'forMs'> & Partial<ClosedConnection>,
  ): void {
    ctx.onClosed({
      unsentBytes: socket.writableLength,
      lateBytes: 0,
      requestsNotTaken: notTaken.get(socket) ?? 0,
      endedBy,
      ...known,
    });
  }

  function reportClosing(socket: Socket, known: Closing, endedBy = known.endedBy): void {
    const { reason, since, bytesReadBefore, unsentBytes = socket.writableLength } = known;
    const lateBytes = socket.bytesRead - bytesReadBefore;
    report(socket, endedBy, { reason, unsentBytes, lateBytes, forMs: ctx.now() - since });
  }

  function cutClosing(socket: Socket, known: Closing, endedBy: 'time' | 'number'): void {
    known.endedBy = endedBy;
    known.unsentBytes = socket.writableLength;
    socket.destroy();
  }

  function cutAfter(socket: Socket, known: Closing, ms: number): void {
    clearTimeout(known.timer);
    known.timer = setTimeout(() => {
      cutClosing(socket, known, 'time');
    }, ms);
    known.timer.unref();
  }

  function cutOldest(): void {
    const oldest = closing.entries().next().value;
    if (oldest) cutClosing(...oldest, 'number');
  }

  /** Waits until all is handed to the system, then until the peer has closed its side. */
  function boundTime(socket: Socket, known: Closing): void {
    const sendMs = (socket.writableLength / MIN_SEND_BYTES_PER_S) * MS_PER_S;
    cutAfter(socket, known, MAX_SEND_PAUSE_MS + sendMs);
    socket.once('finish', () => {
      cutAfter(socket, known, Math.max(PEER_CLOSE_MS, acks.unackedForMs(socket)));
    });
  }

  return {
    close(socket, reason) {
      if (socket.destroyed || closing.has(socket)) return;
      const since = ctx.now();
      const known: Closing = { reason, since, bytesReadBefore: socket.bytesRead, endedBy: 'peer' };
      closing.set(socket, known);
      socket.once('close', () => {
        clearTimeout(known.timer);
        closing.delete(socket);
        reportClosing(socket, known);
      });
      socket.setTimeout(0);
      dropInput(socket);
      acks.noteWritten(socket);
      boundTime(socket, known);
      socket.end();
      if (closing.size > maxClosing) cutOldest();
    },
    cut(socket, reason, forMs) {
      const known = closing.get(socket);
      if (known) {
        cutClosing(socket, known, 'time');
        return;
      }
      report(socket, 'time', { reason, forMs });
      socket.destroy();
    },
    isClosing: (socket) => closing.has(socket),
    stopReading: dropInput,
    noteAnswer: (socket) => {
      acks.noteWritten(socket);
    },
    noteNotTaken(socket) {
      notTaken.set(socket, (notTaken.get(socket) ?? 0) + 1);
    },
    liftNumberBound() {
      maxClosing = Infinity;
    },
    reportExit(open) {
      for (const socket of open) {
        const known = closing.get(socket);
        if (known) reportClosing(socket, known, 'exit');
        else report(socket, 'exit', { reason: 'exit', forMs: 0 });
      }
    },
  };
}
