import type { Socket } from 'node:net';

/** Slowest pace at which peers are expected to receive, in bytes per second. */
const MIN_RECEIVE_BYTES_PER_S = 256 * 1_024;
/** Most that the system holds for one connection, in bytes. */
const MAX_HELD_BYTES = 4 << 20;
const MS_PER_S = 1_000;

/** Estimates for how long the system may hold bytes that a peer has not received yet. */
export interface AckEstimate {
  /** Takes in what was written to a connection until now. */
  noteWritten(socket: Socket): void;
  unackedForMs(socket: Socket): number;
}

interface Written {
  bytes: number;
  /** When all of it has been received at the slowest pace, in milliseconds. */
  receivedAt: number;
}

/**
 * Creates an estimate for the connections of one listener: the system does not tell a process what
 * has been acknowledged, so it follows from what was written when.
 */
export function createAckEstimate(now: () => number): AckEstimate {
  const known = new WeakMap<Socket, Written>();
  return {
    noteWritten(socket) {
      const { bytes, receivedAt } = known.get(socket) ?? { bytes: 0, receivedAt: 0 };
      const at = now();
      const total = socket.bytesWritten;
      const addedMs = ((total - bytes) / MIN_RECEIVE_BYTES_PER_S) * MS_PER_S;
      const latest = at + (MAX_HELD_BYTES / MIN_RECEIVE_BYTES_PER_S) * MS_PER_S;
      known.set(socket, {
        bytes: total,
        receivedAt: Math.min(latest, Math.max(at, receivedAt) + addedMs),
      });
    },
    unackedForMs: (socket) => Math.max(0, (known.get(socket)?.receivedAt ?? 0) - now()),
  };
}
