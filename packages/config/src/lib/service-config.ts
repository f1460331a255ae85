import * as v from 'valibot';

import { exactObject } from './exact-object.js';
import { ipEndpointSchema } from './ip-address.js';
import { patternProblem } from './path-pattern.js';
import { nameSchema, wholeNumber } from './scalars.js';

const MIN_SHARDS = 1;
const MAX_SHARDS = 65_536;
const MAX_DEADLINE_MS = 600_000;
const MAX_CONNECTIONS = 10_000;
const MAX_ANSWER_BYTES = 67_108_864;

/** Source of a request's key. */
export const keySourceSchema = v.variant('from', [
  exactObject({ from: v.literal('header'), name: v.pipe(v.string(), v.minLength(1)) }),
  exactObject({ from: v.literal('query'), name: v.pipe(v.string(), v.minLength(1)) }),
  /** `segment` is an index into the path after the service's name, from 0. */
  exactObject({ from: v.literal('path'), segment: wholeNumber(0, 16) }),
]);
export type KeySource = v.InferOutput<typeof keySourceSchema>;

/** Priority of waiting requests: those with `high` are dispatched first. */
export const prioritySchema = v.picklist(['high', 'normal', 'low']);
export type Priority = v.InferOutput<typeof prioritySchema>;

/** A service-level objective of one rule. */
export const objectiveSchema = exactObject({
  /** Share of requests that must succeed within the latency bound, for example 0.999. */
  target: v.pipe(v.number(), v.minValue(0.5), v.maxValue(0.99999)),
  /** Latency bound of a good answer, in milliseconds. */
  withinMs: wholeNumber(1, MAX_DEADLINE_MS),
});
export type Objective = v.InferOutput<typeof objectiveSchema>;

function reportPatternProblem({ dataset, addIssue }: v.RawCheckContext<string>): void {
  const message = dataset.typed ? patternProblem(dataset.value) : undefined;
  if (message !== undefined) addIssue({ message });
}

/** Rule for the handling of matching requests. The first rule that matches applies. */
export const ruleSchema = exactObject({
  name: nameSchema,
  /** HTTP method, or `*` for any. */
  method: v.picklist(['*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path after the service's name; `*` matches one segment, a final `**` matches the rest. */
  path: v.pipe(v.string(), v.rawCheck(reportPatternProblem)),
  /** True when the request may be repeated without harm. */
  idempotent: v.boolean(),
  /** Time within which the caller needs its answer, in milliseconds. */
  deadlineMs: wholeNumber(1, MAX_DEADLINE_MS),
  priority: v.optional(prioritySchema, 'normal'),
  /** Maximum size of an answer that is passed on, in bytes. */
  maxAnswerBytes: v.optional(wholeNumber(1, MAX_ANSWER_BYTES), 1_048_576),
  objective: v.optional(objectiveSchema),
});
export type Rule = v.InferOutput<typeof ruleSchema>;

/** A server that owns keys of the service. */
export const backendServerSchema = exactObject({
  id: nameSchema,
  /** IP address and port. */
  address: ipEndpointSchema,
  availabilityZone: nameSchema,
  region: nameSchema,
  /** Maximum number of connections that all routers together open to it. */
  connections: v.optional(wholeNumber(1, MAX_CONNECTIONS), 130),
  /** Number of requests that it processes concurrently. */
  slots: v.optional(wholeNumber(1, 1024), 2),
  /** True while an operator drains it: it gets no new work, and its shards are moved away. */
  draining: v.optional(v.boolean(), false),
});
export type BackendServer = v.InferOutput<typeof backendServerSchema>;

/** Times of the lease protocol. `docs/OPERATING.md` explains the trade-off of the tenure. */
export const leaseConfigSchema = exactObject({
  /** Duration of a grant on the backend server's own clock, in milliseconds. */
  leaseMs: v.optional(wholeNumber(50, 60_000), 700),
  /** Time between two renewals, in milliseconds. */
  renewEveryMs: v.optional(wholeNumber(10, 30_000), 100),
  /** Maximum time that a keeper acts without having read the table, in milliseconds. */
  tenureMs: v.optional(wholeNumber(100, 3_600_000), 120_000),
});
export type LeaseConfig = v.InferOutput<typeof leaseConfigSchema>;

const isPowerOfTwo = (n: number) => (n & (n - 1)) === 0;

/** Configuration of one service, which is accepted and versioned as a whole. */
export const serviceConfigSchema = exactObject({
  name: nameSchema,
  /** Number of ranges of the key hash space; a power of two that never changes. */
  shards: v.pipe(
    wholeNumber(MIN_SHARDS, MAX_SHARDS),
    v.check(isPowerOfTwo, 'must be a power of two'),
  ),
  key: keySourceSchema,
  rules: v.pipe(v.array(ruleSchema), v.minLength(1)),
  backendServers: v.pipe(v.array(backendServerSchema), v.minLength(1)),
  /** True when backend servers check the epochs and leases of the orders that they receive. */
  checksOrders: v.optional(v.boolean(), true),
  lease: v.optional(leaseConfigSchema, {}),
  /** Which cost has the greater weight when shards are balanced. */
  weigh: v.optional(v.picklist(['unavailable-time', 'churn']), 'unavailable-time'),
  /** Maximum number of shards that balancing moves per minute, not counting repairs. */
  movesPerMinute: v.optional(wholeNumber(0, 10_000), 60),
  /** Keys that have their own owner, independent of the shard that they hash to. */
  pins: v.optional(v.array(exactObject({ key: v.pipe(v.string(), v.minLength(1)) })), []),
});
export type ServiceConfig = v.InferOutput<typeof serviceConfigSchema>;
export type ServiceConfigInput = v.InferInput<typeof serviceConfigSchema>;

/** Name of the document format that the library prints and `boragectl apply` reads. */
export const CONFIGURATION_FORMAT = 'boragepoint/1';

/** The document that an operator submits. */
export const configurationSchema = exactObject({
  format: v.literal(CONFIGURATION_FORMAT),
  services: v.array(serviceConfigSchema),
  /**
   * Version of each service that the document is based on. `boragectl get` prints it, so that
   * `boragectl apply` refuses the document when another operator has written the service since.
   */
  expectedVersions: v.optional(v.record(nameSchema, wholeNumber(0, Number.MAX_SAFE_INTEGER))),
});
export type Configuration = v.InferOutput<typeof configurationSchema>;
