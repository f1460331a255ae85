import type { ServerIncarnation } from './key-range.js';

/** Orders in a row without an answer after which a server is no longer counted on. */
const UNRESPONSIVE_AFTER = 2;
/** Time after the last silence after which a server is tried again, in milliseconds. */
const UNRESPONSIVE_FOR_MS = 5_000;

/** What orders told about lives of backend servers. */
export interface ServerHealth {
  /** The life answered an order. */
  noteAnswered(incarnation: ServerIncarnation): void;
  /** An order to the life got no answer. */
  noteUnanswered(incarnation: ServerIncarnation, now: number): void;
  /** The life is proved over. */
  noteEnded(incarnation: ServerIncarnation): void;
  hasEnded(incarnation: ServerIncarnation): boolean;
  /** Orders go unanswered. */
  isUnresponsive(incarnation: ServerIncarnation, now: number): boolean;
}

const incarnationKey = (incarnation: ServerIncarnation) =>
  `${incarnation.server}@${incarnation.startedMs}`;

/** Creates the record of what orders told. */
export function createServerHealth(): ServerHealth {
  const unanswered = new Map<string, { count: number; at: number }>();
  const ended = new Set<string>();
  return {
    noteAnswered(incarnation) {
      unanswered.delete(incarnationKey(incarnation));
    },
    noteUnanswered(incarnation, now) {
      const count = (unanswered.get(incarnationKey(incarnation))?.count ?? 0) + 1;
      unanswered.set(incarnationKey(incarnation), { count, at: now });
    },
    noteEnded(incarnation) {
      ended.add(incarnationKey(incarnation));
    },
    hasEnded: (incarnation) => ended.has(incarnationKey(incarnation)),
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
