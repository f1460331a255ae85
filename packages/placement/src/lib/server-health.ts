import type { EndProof } from './end-proof.js';
import type { ServerIncarnation } from './key-range.js';

/** Number of consecutive unanswered orders after which a server counts as unresponsive. */
const UNRESPONSIVE_AFTER = 2;
/** Time after the last unanswered order until a server is tried again, in milliseconds. */
const UNRESPONSIVE_FOR_MS = 5_000;

/** Health of server incarnations, as shown by the outcomes of orders. */
export interface ServerHealth {
  noteAnswered(incarnation: ServerIncarnation): void;
  /** Records an unanswered order; `now` is on the monotonic clock. */
  noteUnanswered(incarnation: ServerIncarnation, now: number): void;
  /**
   * Records that no router reaches the server, which may have ended: it counts as unresponsive at
   * once. `now` is on the monotonic clock.
   */
  noteSuspected(incarnation: ServerIncarnation, now: number): void;
  noteEnded(incarnation: ServerIncarnation, proof: EndProof): void;
  hasEnded(incarnation: ServerIncarnation): boolean;
  /** Returns the latest proof of the incarnation's end by an order. */
  endOf(incarnation: ServerIncarnation): EndProof | undefined;
  /** Returns true while the latest orders to the incarnation went unanswered. */
  isUnresponsive(incarnation: ServerIncarnation, now: number): boolean;
}

const incarnationKey = (incarnation: ServerIncarnation) =>
  `${incarnation.server}@${incarnation.startedMs}`;

/** Creates a record without outcomes. */
export function createServerHealth(): ServerHealth {
  const unanswered = new Map<string, { count: number; at: number }>();
  const ended = new Map<string, EndProof>();
  return {
    noteAnswered(incarnation) {
      unanswered.delete(incarnationKey(incarnation));
    },
    noteUnanswered(incarnation, now) {
      const count = (unanswered.get(incarnationKey(incarnation))?.count ?? 0) + 1;
      unanswered.set(incarnationKey(incarnation), { count, at: now });
    },
    noteSuspected(incarnation, now) {
      unanswered.set(incarnationKey(incarnation), { count: UNRESPONSIVE_AFTER, at: now });
    },
    noteEnded(incarnation, proof) {
      ended.set(incarnationKey(incarnation), proof);
    },
    hasEnded: (incarnation) => ended.has(incarnationKey(incarnation)),
    endOf: (incarnation) => ended.get(incarnationKey(incarnation)),
    isUnresponsive(incarnation, now) {
      const last = unanswered.get(incarnationKey(incarnation));
      return (
        last !== undefined &&
        last.count >= UNRESPONSIVE_AFTER &&
        now < last.at + UNRESPONSIVE_FOR_MS
      );
    },
  };
}
