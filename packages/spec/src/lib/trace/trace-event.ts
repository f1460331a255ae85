import * as v from 'valibot';

const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const nameSchema = v.pipe(v.string(), v.minLength(1));

/** Milliseconds on the monotonic clock of the one host that all processes of the trace run on. */
const atSchema = v.pipe(v.number(), v.finite());

const shardFields = { service: nameSchema, shard: countSchema, epoch: countSchema };

/** A backend server ran a request; `at` is the clock reading that its ownership check used. */
export const ranEventSchema = v.strictObject({
  kind: v.literal('ran'),
  at: atSchema,
  server: nameSchema,
  /** Start identity of the backend server. */
  start: nameSchema,
  ...shardFields,
  requestId: nameSchema,
  key: v.string(),
  idempotencyKey: v.optional(nameSchema),
  idempotent: v.boolean(),
});
export type RanEvent = v.InferOutput<typeof ranEventSchema>;

/** A backend server began to hold a shard. */
export const grantedEventSchema = v.strictObject({
  kind: v.literal('granted'),
  at: atSchema,
  server: nameSchema,
  ...shardFields,
});
export type GrantedEvent = v.InferOutput<typeof grantedEventSchema>;

/** A backend server gave a shard up at its keeper's request. */
export const releasedEventSchema = v.strictObject({
  kind: v.literal('released'),
  at: atSchema,
  server: nameSchema,
  ...shardFields,
});
export type ReleasedEvent = v.InferOutput<typeof releasedEventSchema>;

/** A lease ended; `at` is when it ended, which may be long before the server noticed. */
export const lapsedEventSchema = v.strictObject({
  kind: v.literal('lapsed'),
  at: atSchema,
  server: nameSchema,
  ...shardFields,
});
export type LapsedEvent = v.InferOutput<typeof lapsedEventSchema>;

/**
 * A backend server was ended by the run itself and holds nothing any more; `at` is the last time
 * that it could act: when it was killed, or when it was frozen if it never thawed.
 */
export const stoppedEventSchema = v.strictObject({
  kind: v.literal('stopped'),
  at: atSchema,
  server: nameSchema,
});
export type StoppedEvent = v.InferOutput<typeof stoppedEventSchema>;

/** A router knows that a row of the table names this owner; `version` is the row's version. */
export const assignedEventSchema = v.strictObject({
  kind: v.literal('assigned'),
  at: atSchema,
  service: nameSchema,
  shard: countSchema,
  owner: nameSchema,
  epoch: countSchema,
  version: countSchema,
});
export type AssignedEvent = v.InferOutput<typeof assignedEventSchema>;

/** A caller received its answer. `code` is a result code, `status` the HTTP status. */
export const answeredEventSchema = v.strictObject({
  kind: v.literal('answered'),
  at: atSchema,
  requestId: nameSchema,
  idempotencyKey: v.optional(nameSchema),
  code: countSchema,
  status: countSchema,
});
export type AnsweredEvent = v.InferOutput<typeof answeredEventSchema>;

/** A router put a version of a service's configuration into force. */
export const configEventSchema = v.strictObject({
  kind: v.literal('config'),
  at: atSchema,
  router: nameSchema,
  service: nameSchema,
  version: countSchema,
});
export type ConfigEvent = v.InferOutput<typeof configEventSchema>;

/**
 * What the recorder states of the whole run, as the last line of a trace file; see `outcomeOf`.
 * `events` counts all other lines.
 */
export const outcomeEventSchema = v.strictObject({
  kind: v.literal('outcome'),
  at: atSchema,
  events: countSchema,
  runs: countSchema,
  answeredOk: countSchema,
  answeredNotRun: countSchema,
  answeredUnknown: countSchema,
});
export type OutcomeEvent = v.InferOutput<typeof outcomeEventSchema>;

/** One line of a trace file. */
export const traceEventSchema = v.variant('kind', [
  ranEventSchema,
  grantedEventSchema,
  releasedEventSchema,
  lapsedEventSchema,
  stoppedEventSchema,
  assignedEventSchema,
  answeredEventSchema,
  configEventSchema,
  outcomeEventSchema,
]);
export type TraceEvent = v.InferOutput<typeof traceEventSchema>;
