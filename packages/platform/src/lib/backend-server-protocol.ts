import * as v from 'valibot';

/** Headers that a router sends to a backend server with each request. */
export const REQUEST_HEADERS = {
  service: 'bp-service',
  shard: 'bp-shard',
  epoch: 'bp-epoch',
  requestId: 'bp-request-id',
  /** Time that is left to answer, in milliseconds. */
  deadline: 'bp-deadline-ms',
} as const;

/** Headers that a backend server sends back. */
export const ANSWER_HEADERS = {
  /** The request id of the request that this answers. */
  requestId: 'bp-request-id',
  /** Set only when the request was not run; its value is a refusal reason. */
  refusal: 'bp-refusal',
  /** With refusal `stale-epoch`: the epoch that the backend server holds. */
  epoch: 'bp-epoch',
  /** Number of requests that run or wait at the backend server. */
  load: 'bp-load',
} as const;

/**
 * Why a backend server did not run a request:
 * - `not-owner`: it holds no grant for the shard, or its lease has lapsed.
 * - `stale-epoch`: it holds the shard under another epoch.
 * - `draining`: it takes no new work.
 * - `overloaded`: it sheds load.
 * - `deadline`: the deadline has passed or can't be met.
 */
export const refusalReasonSchema = v.picklist([
  'not-owner',
  'stale-epoch',
  'draining',
  'overloaded',
  'deadline',
]);
export type RefusalReason = v.InferOutput<typeof refusalReasonSchema>;

const shardEpochSchema = v.object({
  service: v.string(),
  shard: v.number(),
  epoch: v.number(),
});
/** A shard together with the epoch of its assignment. */
export type ShardEpoch = v.InferOutput<typeof shardEpochSchema>;

/** Path that takes a {@link LeaseRequest} by POST. */
export const LEASE_PATH = '/_bp/lease';
/** Path that returns a {@link HealthReport} by GET. */
export const HEALTH_PATH = '/_bp/health';
/** Path that returns a {@link LoadReport} by GET. */
export const LOAD_PATH = '/_bp/load';

/**
 * A renewal. The lease then ends `leaseMs` after the backend server sent the answer that `echo`
 * names; an echo of another start or an unknown answer extends and grants nothing.
 */
export const leaseRequestSchema = v.object({
  keeper: v.string(),
  keeperEpoch: v.number(),
  echo: v.optional(v.object({ start: v.string(), sequence: v.number() })),
  leaseMs: v.number(),
  /** Shards to hold. A shard released before is not held again under the same or a lower epoch. */
  grants: v.array(shardEpochSchema),
  /** Shards to release, up to the epoch named. New requests for them are refused at once. */
  release: v.array(shardEpochSchema),
});
export type LeaseRequest = v.InferOutput<typeof leaseRequestSchema>;

/** Answer to a renewal. */
export const leaseAnswerSchema = v.object({
  /** False when a keeper with a higher epoch was seen; nothing was changed then. */
  accepted: v.boolean(),
  /** Random identity that is new at each start of the backend server. */
  start: v.string(),
  /** Rises with each answer. */
  sequence: v.number(),
  /** Highest keeper epoch seen since the start. */
  keeperEpoch: v.number(),
  /** Shards held and served. */
  held: v.array(shardEpochSchema),
  /** Shards whose release was asked for while requests for them still run. */
  releasing: v.array(shardEpochSchema),
  /** Time left on the lease, in milliseconds; 0 when it has lapsed. */
  leaseLeftMs: v.number(),
});
export type LeaseAnswer = v.InferOutput<typeof leaseAnswerSchema>;

/** What a backend server says of its health; it may lag or mislead. */
export const healthReportSchema = v.object({ healthy: v.boolean(), draining: v.boolean() });
export type HealthReport = v.InferOutput<typeof healthReportSchema>;

/** What a backend server says of its load; it may lag or mislead. */
export const loadReportSchema = v.object({
  running: v.number(),
  waiting: v.number(),
  connections: v.number(),
  /** Work done in the last second, as a share of its slots. */
  utilization: v.number(),
});
export type LoadReport = v.InferOutput<typeof loadReportSchema>;
