import type { EventKind, JournalEvent } from '@boragepoint/config';

/** What an event is about. */
export interface EventSubject {
  readonly service?: string;
  /** Id of a backend server. */
  readonly server?: string;
  readonly shard?: number;
}

/** A bounded in-memory list of this router's events for operators; lost when the router stops. */
export interface Journal {
  /** @param message One sentence for operators. */
  add(kind: EventKind, subject: EventSubject, message: string): void;
  /** Events, oldest first. */
  events(): readonly JournalEvent[];
  /** True once the oldest events were dropped. */
  isTruncated(): boolean;
}

/** Number of latest events that a journal keeps. */
const JOURNAL_LENGTH = 1_000;

/** Creates a journal. `onEvent` is called with each event, to log it. */
export function createJournal(router: string, onEvent: (event: JournalEvent) => void): Journal {
  const events: JournalEvent[] = [];
  let isTruncated = false;
  return {
    add(kind, subject, message) {
      const event = { kind, atMs: Date.now(), router, ...subject, message };
      events.push(event);
      if (events.length > JOURNAL_LENGTH) {
        events.shift();
        isTruncated = true;
      }
      onEvent(event);
    },
    events: () => events,
    isTruncated: () => isTruncated,
  };
}
