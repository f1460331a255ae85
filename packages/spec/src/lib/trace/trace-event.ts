import * as v from 'valibot';

const nonNegativeIntegerSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const nonEmptyStringSchema = v.pipe(v.string(), v.minLength(1));

/** Milliseconds on the monotonic clock of the host; all processes of a trace run on one host. */
const timeMsSchema = v.pipe(v.number(), v.finite());

const shardFields = {
  service: nonEmptyStringSchema,
  shard: nonNegativeIntegerSchema,
  epoch: nonNegativeIntegerSchema,
};

/** A backend server ran a request; `at` is the time with which it checked its ownership. */
export const ranEventSchema = v.strictObject({
  kind: v.literal('ran'),
  at: timeMsSchema,
  server: nonEmptyStringSchema,
  /** Incarnation of the backend server. */
  start: nonEmptyStringSchema,
  ...shardFields,
  requestId: nonEmptyStringSchema,
  key: v.string(),
  idempotencyKey: v.optional(nonEmptyStringSchema),
  idempotent: v.boolean(),
});
export type RanEvent = v.InferOutput<typeof ranEventSchema>;

/** A backend server began to hold a shard. */
export const grantedEventSchema = v.strictObject({
  kind: v.literal('granted'),
  at: timeMsSchema,
  server: nonEmptyStringSchema,
  ...shardFields,
});
export type GrantedEvent = v.InferOutput<typeof grantedEventSchema>;

/** A backend server released a shard at its keeper's request. */
export const releasedEventSchema = v.strictObject({
  kind: v.literal('released'),
  at: timeMsSchema,
  server: nonEmptyStringSchema,
  ...shardFields,
});
export type ReleasedEvent = v.InferOutput<typeof releasedEventSchema>;

/** A lease ended; `at` is its end, which may be long before the backend server noticed it. */
export const lapsedEventSchema = v.strictObject({
  kind: v.literal('lapsed'),
  at: timeMsSchema,
  server: nonEmptyStringSchema,
  ...shardFields,
});
export type LapsedEvent = v.InferOutput<typeof lapsedEventSchema>;

/**
 * The test run killed a backend server, or froze it without resuming it, so the server holds
 * nothing any more; `at` is the time of the kill or freeze, the last at which it could act.
 */
export const stoppedEventSchema = v.strictObject({
  kind: v.literal('stopped'),
  at: timeMsSchema,
  server: nonEmptyStringSchema,
});
export type StoppedEvent = v.InferOutput<typeof stoppedEventSchema>;

/** A router learned that an assignment row of this `version` names this owner. */
export const assignedEventSchema = v.strictObject({
  kind: v.literal('assigned'),
  at: timeMsSchema,
  service: nonEmptyStringSchema,
  shard: nonNegativeIntegerSchema,
  owner: nonEmptyStringSchema,
  epoch: nonNegativeIntegerSchema,
  version: nonNegativeIntegerSchema,
});
export type AssignedEvent = v.InferOutput<typeof assignedEventSchema>;

/** A caller received its answer. `code` is a result code, `status` the HTTP status. */
export const answeredEventSchema = v.strictObject({
  kind: v.literal('answered'),
  at: timeMsSchema,
  requestId: nonEmptyStringSchema,
  idempotencyKey: v.optional(nonEmptyStringSchema),
  code: nonNegativeIntegerSchema,
  status: nonNegativeIntegerSchema,
});
export type AnsweredEvent = v.InferOutput<typeof answeredEventSchema>;

/** A router put a version of the configuration of a service into force. */
export const configEventSchema = v.strictObject({
  kind: v.literal('config'),
  at: timeMsSchema,
  router: nonEmptyStringSchema,
  service: nonEmptyStringSchema,
  version: nonNegativeIntegerSchema,
});
export type ConfigEvent = v.InferOutput<typeof configEventSchema>;

/**
 * Totals of the whole run, which the recorder writes as the last line of a trace file; see
 * `outcomeOf`. `events` is the number of all other lines.
 */
export const outcomeEventSchema = v.strictObject({
  kind: v.literal('outcome'),
  at: timeMsSchema,
  events: nonNegativeIntegerSchema,
  runs: nonNegativeIntegerSchema,
  answeredOk: nonNegativeIntegerSchema,
  answeredNotRun: nonNegativeIntegerSchema,
  answeredUnknown: nonNegativeIntegerSchema,
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
