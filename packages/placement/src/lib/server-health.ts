import type { ServerLife } from './key-range.js';

/** Orders in a row without an answer after which a server is no longer counted on. */
const SUSPECT_AFTER = 2;
/** Time after the last silence after which a server is tried again, in milliseconds. */
const SUSPECT_FOR_MS = 5_000;

/** What orders told about lives of backend servers. */
export interface ServerHealth {
  /** The life answered an order. */
  answered(life: ServerLife): void;
  /** An order to the life got no answer. */
  silent(life: ServerLife, now: number): void;
  /** The life is proved over. */
  ended(life: ServerLife): void;
  hasEnded(life: ServerLife): boolean;
  /** Orders go unanswered. */
  isSuspect(life: ServerLife, now: number): boolean;
}

const keyOf = (life: ServerLife) => `${life.server}@${life.startedMs}`;

/** Creates the record of what orders told. */
export function createServerHealth(): ServerHealth {
  const silences = new Map<string, { count: number; at: number }>();
  const ended = new Set<string>();
  return {
    answered(life) {
      silences.delete(keyOf(life));
    },
    silent(life, now) {
      const count = (silences.get(keyOf(life))?.count ?? 0) + 1;
      silences.set(keyOf(life), { count, at: now });
    },
    ended(life) {
      ended.add(keyOf(life));
    },
    hasEnded: (life) => ended.has(keyOf(life)),
    isSuspect(life, now) {
      const silence = silences.get(keyOf(life));
      return (
        silence !== undefined && silence.count >= SUSPECT_AFTER && now < silence.at + SUSPECT_FOR_MS
      );
    },
  };
}
