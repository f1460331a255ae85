import * as v from 'valibot';

import { exactObject } from './exact-object.js';
import { MAX_KEY_LENGTH } from './request-key.js';
import { nameSchema, wholeNumber } from './scalars.js';
import { serviceConfigSchema } from './service-config.js';

/**
 * Paths of the operators' HTTP API. Bodies are JSON, and each request has the operators' token in
 * `Authorization: Bearer TOKEN`. Errors have the body {@link errorBodySchema}.
 */
export const OPERATOR_PATHS = {
  services: '/v1/services',
  status: '/v1/status',
  owner: '/v1/owner',
  drain: '/v1/drain',
  move: '/v1/move',
  pin: '/v1/pin',
  depose: '/v1/depose',
  explain: '/v1/explain',
  events: '/v1/events',
  quarantine: '/v1/quarantine',
  burn: '/v1/report/burn',
} as const;

/** Paths of health checks and metrics, which need no token. */
export const PROBE_PATHS = { live: '/livez', ready: '/readyz', metrics: '/metrics' } as const;

const MAX_WRITER_LENGTH = 128;
const MAX_SHARD = 65_535;

const versionSchema = wholeNumber(0, Number.MAX_SAFE_INTEGER);
const keySchema = v.pipe(
  v.string(),
  v.minLength(1, 'must not be empty'),
  v.maxLength(MAX_KEY_LENGTH, `must have at most ${MAX_KEY_LENGTH} characters`),
);

/** One service and the version of its configuration. */
export const serviceVersionSchema = v.object({ name: v.string(), version: v.number() });
export type ServiceVersion = v.InferOutput<typeof serviceVersionSchema>;

/** Answer of `GET /v1/services`. */
export const serviceListSchema = v.object({ services: v.array(serviceVersionSchema) });
export type ServiceList = v.InferOutput<typeof serviceListSchema>;

/** Answer of `GET /v1/services/NAME`. */
export const serviceDocumentSchema = v.object({
  version: v.number(),
  /** Operator who wrote this version. */
  writer: v.string(),
  config: serviceConfigSchema,
});
export type ServiceDocument = v.InferOutput<typeof serviceDocumentSchema>;

/** Body of `PUT /v1/services/NAME`: compare-and-set of one service's configuration. */
export const putServiceSchema = exactObject({
  /** Version that the operator read; 0 for a service that does not exist yet. */
  expectedVersion: versionSchema,
  /** Operator who submits it; shown to another operator on a conflict. */
  writer: v.optional(
    v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_WRITER_LENGTH)),
    'unknown operator',
  ),
  config: serviceConfigSchema,
});
export type PutService = v.InferOutput<typeof putServiceSchema>;
export type PutServiceInput = v.InferInput<typeof putServiceSchema>;

/** Answer of requests that write a configuration, with the written version. */
export const writtenVersionSchema = v.object({ version: v.number() });
export type WrittenVersion = v.InferOutput<typeof writtenVersionSchema>;

/** Query of `GET /v1/owner` and `GET /v1/explain`. */
export const keyQuerySchema = v.object({ service: nameSchema, key: keySchema });
export type KeyQuery = v.InferOutput<typeof keyQuerySchema>;

/** Answer of `GET /v1/owner`. `null` means that there is none. */
export const ownerAnswerSchema = v.object({
  service: v.string(),
  key: v.string(),
  shard: v.number(),
  /** True when the key is pinned, so that it has its own owner. */
  pinned: v.boolean(),
  owner: v.nullable(v.string()),
  epoch: v.number(),
  successor: v.nullable(v.string()),
  keeper: v.nullable(v.string()),
  standby: v.nullable(v.string()),
  /** Backend server that last reported that it holds the shard. */
  heldBy: v.nullable(v.string()),
});
export type OwnerAnswer = v.InferOutput<typeof ownerAnswerSchema>;

/** Body of `POST /v1/drain`; the answer is {@link writtenVersionSchema}. */
export const drainRequestSchema = exactObject({
  service: nameSchema,
  server: nameSchema,
  /** False to end a drain. */
  draining: v.boolean(),
});
export type DrainRequest = v.InferOutput<typeof drainRequestSchema>;

const shardMoveSchema = exactObject({
  service: nameSchema,
  shard: wholeNumber(0, MAX_SHARD),
  to: nameSchema,
});
const keyMoveSchema = exactObject({ service: nameSchema, key: keySchema, to: nameSchema });

/** Body of `POST /v1/move`: one shard, identified by its number or by a key in it. */
export const moveRequestSchema = v.union(
  [shardMoveSchema, keyMoveSchema],
  'must hold service, to, and either shard or key',
);
export type MoveRequest = v.InferOutput<typeof moveRequestSchema>;

/** Answer of `POST /v1/move`. */
export const moveAnswerSchema = v.object({
  shard: v.number(),
  owner: v.string(),
  epoch: v.number(),
});
export type MoveAnswer = v.InferOutput<typeof moveAnswerSchema>;

/** Body of `POST /v1/pin`; the answer is {@link writtenVersionSchema}. */
export const pinRequestSchema = exactObject({
  service: nameSchema,
  key: keySchema,
  /** False to return the key to the shard that it hashes to. */
  pinned: v.boolean(),
});
export type PinRequest = v.InferOutput<typeof pinRequestSchema>;

/**
 * Body of `POST /v1/depose`: the operator has verified that the keepers of this backend server are
 * gone, so that new keepers need not wait for the end of their tenure.
 */
export const deposeRequestSchema = exactObject({ server: nameSchema });
export type DeposeRequest = v.InferOutput<typeof deposeRequestSchema>;

/** Answer of `POST /v1/depose`. */
export const deposeAnswerSchema = v.object({
  server: v.string(),
  /** Router that is the keeper of the backend server from now on. */
  keeper: v.string(),
  keeperEpoch: v.number(),
});
export type DeposeAnswer = v.InferOutput<typeof deposeAnswerSchema>;
