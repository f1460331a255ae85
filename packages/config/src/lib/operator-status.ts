import * as v from 'valibot';

import { serviceVersionSchema } from './operator-api.js';

/** A router as the answering router sees it. */
export const routerStatusSchema = v.object({
  id: v.string(),
  availabilityZone: v.string(),
  region: v.string(),
  state: v.picklist(['live', 'leaving']),
  /** Configuration versions that it reports as in force. */
  services: v.array(serviceVersionSchema),
  /** Time since its last report, in milliseconds; 0 for the answering router. */
  reportAgeMs: v.number(),
});
export type RouterStatus = v.InferOutput<typeof routerStatusSchema>;

/** Keeper and standby of one backend server. `null` means that there is none. */
export const keeperStatusSchema = v.object({
  server: v.string(),
  keeper: v.nullable(v.string()),
  standby: v.nullable(v.string()),
  keeperEpoch: v.number(),
  /** Role of the answering router. */
  role: v.picklist(['keeper', 'standby', 'none']),
});
export type KeeperStatus = v.InferOutput<typeof keeperStatusSchema>;

/**
 * State of a backend server:
 * - `serving`: it holds a lease and accepts requests.
 * - `starting`: it is new, and its share of the work is being increased gradually.
 * - `draining`: it gets no new work, and its shards are moved away.
 * - `unreachable`: it does not answer its keeper; its lease may still be valid.
 * - `lapsed`: its lease has expired, and it serves nothing.
 */
export const serverStateSchema = v.picklist([
  'serving',
  'starting',
  'draining',
  'unreachable',
  'lapsed',
]);
export type ServerState = v.InferOutput<typeof serverStateSchema>;

/** One backend server. */
export const serverStatusSchema = v.object({
  id: v.string(),
  service: v.string(),
  availabilityZone: v.string(),
  region: v.string(),
  state: serverStateSchema,
  /** Number of shards that it owns. */
  shards: v.number(),
});
export type ServerStatus = v.InferOutput<typeof serverStatusSchema>;

/** Answer of `GET /v1/status`. */
export const statusAnswerSchema = v.object({
  /** The answering router. */
  router: v.object({
    id: v.string(),
    availabilityZone: v.string(),
    region: v.string(),
    ready: v.boolean(),
    /** Reasons why it is not ready; empty when it is ready. */
    reasons: v.array(v.string()),
  }),
  /** Configuration versions in force on the answering router. */
  services: v.array(serviceVersionSchema),
  /** All live and leaving routers, the answering one included. */
  routers: v.array(routerStatusSchema),
  keepers: v.array(keeperStatusSchema),
  servers: v.array(serverStatusSchema),
});
export type StatusAnswer = v.InferOutput<typeof statusAnswerSchema>;
