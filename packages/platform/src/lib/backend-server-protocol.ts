import * as v from 'valibot';

/** Headers that a router sends to a backend server with each request. */
export const REQUEST_HEADERS = {
  service: 'bp-service',
  shard: 'bp-shard',
  epoch: 'bp-epoch',
  requestId: 'bp-request-id',
  /** Time left until the request's deadline, in milliseconds. */
  deadline: 'bp-deadline-ms',
} as const;

/** Headers that a backend server sends back. */
export const ANSWER_HEADERS = {
  /** Id of the request that this answer belongs to. */
  requestId: 'bp-request-id',
  /** Set only when the request was not run; the value is a {@link RefusalReason}. */
  refusal: 'bp-refusal',
  /** With refusal `stale-epoch`: the epoch that the backend server holds. */
  epoch: 'bp-epoch',
  /** Number of requests running or queued at the backend server. */
  load: 'bp-load',
} as const;

/**
 * Why a backend server did not run a request:
 * - `not-owner`: it holds no grant for the shard, or its lease has expired.
 * - `stale-epoch`: it holds the shard under another epoch.
 * - `draining`: it accepts no new requests.
 * - `overloaded`: it sheds load to protect itself.
 * - `deadline`: the request's deadline has passed or can't be met.
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
/** A shard and the epoch of its assignment. */
export type ShardEpoch = v.InferOutput<typeof shardEpochSchema>;

/** Path to which a {@link LeaseRequest} is sent by POST. */
export const LEASE_PATH = '/_bp/lease';
/** Path that returns a {@link HealthReport} by GET. */
export const HEALTH_PATH = '/_bp/health';
/** Path that returns a {@link LoadReport} by GET. */
export const LOAD_PATH = '/_bp/load';

/**
 * A lease renewal. The renewed lease ends `leaseMs` after the backend server sent the answer that
 * `echo` identifies. An `echo` that names another start of the server or an unknown answer neither
 * extends the lease nor grants a shard.
 */
export const leaseRequestSchema = v.object({
  keeper: v.string(),
  keeperEpoch: v.number(),
  echo: v.optional(v.object({ start: v.string(), sequence: v.number() })),
  leaseMs: v.number(),
  /** Shards to hold. A released shard is not held again under the same epoch or a lower one. */
  grants: v.array(shardEpochSchema),
  /** Shards to release, up to the given epoch. New requests for them are refused immediately. */
  release: v.array(shardEpochSchema),
});
export type LeaseRequest = v.InferOutput<typeof leaseRequestSchema>;

/** Answer to a lease renewal. */
export const leaseAnswerSchema = v.object({
  /** False if a keeper with a higher epoch has been seen; the renewal then changed nothing. */
  accepted: v.boolean(),
  /** Random id that the backend server draws at each start. */
  start: v.string(),
  /** Increases with each answer. */
  sequence: v.number(),
  /** Highest keeper epoch seen since the server's start. */
  keeperEpoch: v.number(),
  /** Shards held and served. */
  held: v.array(shardEpochSchema),
  /** Shards that are being released: requests for them are still running. */
  releasing: v.array(shardEpochSchema),
  /** Time left on the lease, in milliseconds; 0 once it has expired. */
  leaseLeftMs: v.number(),
});
export type LeaseAnswer = v.InferOutput<typeof leaseAnswerSchema>;

/** Health as a backend server reports it. The report may be outdated or wrong. */
export const healthReportSchema = v.object({ healthy: v.boolean(), draining: v.boolean() });
export type HealthReport = v.InferOutput<typeof healthReportSchema>;

/** Load as a backend server reports it. The report may be outdated or wrong. */
export const loadReportSchema = v.object({
  running: v.number(),
  waiting: v.number(),
  connections: v.number(),
  /** Average share of the server's slots in use during the last second. */
  utilization: v.number(),
});
export type LoadReport = v.InferOutput<typeof loadReportSchema>;
