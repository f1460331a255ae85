import type { EventKind, JournalEvent } from '@boragepoint/config';

/** What an event is about. */
export interface EventSubject {
  readonly service?: string;
  /** Id of a backend server. */
  readonly server?: string;
  readonly shard?: number;
}

/** A bounded list of what this router did or saw; it is lost when the router is replaced. */
export interface Journal {
  /** @param message One sentence for people. */
  add(kind: EventKind, subject: EventSubject, message: string): void;
  /** Events, oldest first. */
  events(): readonly JournalEvent[];
  /** True once the oldest events were dropped. */
  isTruncated(): boolean;
}

const JOURNAL_LENGTH = 1_000;

/** Creates a journal. `onEvent` hears of each event, for the log. */
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
