import * as v from 'valibot';

import { exactObject } from './exact-object.js';
import { nameSchema } from './scalars.js';

const MAX_FINGERPRINT_LENGTH = 128;

/** One change of a shard's owner. Answers list the newest first. */
export const ownershipSchema = v.object({
  epoch: v.number(),
  owner: v.string(),
  /** Wall-clock time of the change, in milliseconds since 1970. */
  atMs: v.number(),
  /** Router that made the change. */
  router: v.string(),
  reason: v.string(),
});
export type Ownership = v.InferOutput<typeof ownershipSchema>;

/** Answer of `GET /v1/explain`. */
export const explainAnswerSchema = v.object({
  service: v.string(),
  key: v.string(),
  shard: v.number(),
  history: v.array(ownershipSchema),
  /** True when older changes are missing from the history. */
  truncated: v.boolean(),
});
export type ExplainAnswer = v.InferOutput<typeof explainAnswerSchema>;

/** Kinds of events in the journal. */
export const eventKindSchema = v.picklist([
  'configuration',
  'drain',
  'lapse',
  'move',
  'quarantine',
  'refusal',
  'router',
  'table',
  'takeover',
]);
export type EventKind = v.InferOutput<typeof eventKindSchema>;

/** One event of the journal. */
export const journalEventSchema = v.object({
  /** Wall-clock time in milliseconds since 1970. */
  atMs: v.number(),
  kind: eventKindSchema,
  /** Router that recorded the event. */
  router: v.string(),
  service: v.optional(v.string()),
  server: v.optional(v.string()),
  shard: v.optional(v.number()),
  message: v.string(),
});
export type JournalEvent = v.InferOutput<typeof journalEventSchema>;

const sinceSchema = v.pipe(
  v.string(),
  v.regex(/^\d{1,15}$/, 'must be milliseconds since 1970'),
  v.transform(Number),
);

/** Query of `GET /v1/events`. */
export const eventsQuerySchema = v.object({
  /** Earliest time in milliseconds since 1970. */
  since: v.optional(sinceSchema, '0'),
  kind: v.optional(eventKindSchema),
});
export type EventsQuery = v.InferOutput<typeof eventsQuerySchema>;

/** Answer of `GET /v1/events`, oldest first. */
export const eventsAnswerSchema = v.object({
  events: v.array(journalEventSchema),
  /** True when the journal has dropped older events of the requested period. */
  truncated: v.boolean(),
});
export type EventsAnswer = v.InferOutput<typeof eventsAnswerSchema>;

/** A quarantined request: it is refused because it crashed backend servers. */
export const quarantineEntrySchema = v.object({
  service: v.string(),
  fingerprint: v.string(),
  /** Wall-clock time in milliseconds since 1970. */
  expiresAtMs: v.number(),
  reason: v.string(),
});
export type QuarantineEntry = v.InferOutput<typeof quarantineEntrySchema>;

/** Answer of `GET /v1/quarantine`. */
export const quarantineListSchema = v.object({ entries: v.array(quarantineEntrySchema) });
export type QuarantineList = v.InferOutput<typeof quarantineListSchema>;

/** Path and query of `DELETE /v1/quarantine/FINGERPRINT?service=NAME`. */
export const releaseRequestSchema = exactObject({
  service: nameSchema,
  fingerprint: v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_FINGERPRINT_LENGTH)),
});
export type ReleaseRequest = v.InferOutput<typeof releaseRequestSchema>;

/** Answer of `DELETE /v1/quarantine/FINGERPRINT`. */
export const releaseAnswerSchema = v.object({ released: v.literal(true) });
export type ReleaseAnswer = v.InferOutput<typeof releaseAnswerSchema>;
