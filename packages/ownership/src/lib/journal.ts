/** Kinds of event that the fleet explains itself with. */
export type EventKind =
  | 'keeper-started'
  | 'keeper-stepped-in'
  | 'keeper-replaced'
  | 'server-lost'
  | 'server-back'
  | 'shards-moved'
  | 'shards-moved-unrecorded'
  | 'configuration-in-force'
  | 'quarantined'
  | 'quarantine-released';

/** Something that this router did or saw, for operators. */
export interface JournalEvent {
  readonly kind: EventKind;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
  /** What it is about: a backend server, a service or a fingerprint. */
  readonly subject: string;
  /** One sentence for people. */
  readonly message: string;
}

/** A bounded list of events of one router; it is lost when the router is replaced. */
export interface Journal {
  add(kind: EventKind, subject: string, message: string): void;
  events(): readonly JournalEvent[];
}

const JOURNAL_LENGTH = 1_000;

/** Creates a journal. `onEvent` hears of each event, for the log. */
export function createJournal(onEvent: (event: JournalEvent) => void): Journal {
  const events: JournalEvent[] = [];
  return {
    add(kind, subject, message) {
      const event = { kind, at: new Date().toISOString(), subject, message };
      events.push(event);
      if (events.length > JOURNAL_LENGTH) events.shift();
      onEvent(event);
    },
    events: () => events,
  };
}
