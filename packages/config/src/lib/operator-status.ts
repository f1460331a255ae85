import * as v from 'valibot';

import { serviceVersionSchema } from './operator-api.js';

/** A router as the answering router sees it. */
export const routerStatusSchema = v.object({
  id: v.string(),
  availabilityZone: v.string(),
  region: v.string(),
  state: v.picklist(['live', 'leaving']),
  /** Configuration versions that it reports to be in force. */
  services: v.array(serviceVersionSchema),
  /** Time since its last report, in milliseconds; 0 for the answering router. */
  reportAgeMs: v.number(),
});
export type RouterStatus = v.InferOutput<typeof routerStatusSchema>;

/** Who keeps one backend server. `null` stands for none. */
export const keeperStatusSchema = v.object({
  server: v.string(),
  keeper: v.nullable(v.string()),
  standby: v.nullable(v.string()),
  keeperEpoch: v.number(),
  /** Part of the answering router. */
  role: v.picklist(['keeper', 'standby', 'none']),
});
export type KeeperStatus = v.InferOutput<typeof keeperStatusSchema>;

/**
 * State of a backend server:
 * - `serving`: it holds a lease and takes requests.
 * - `starting`: it is new and its work is still being raised.
 * - `draining`: it gets no new work, and its shards move away.
 * - `unreachable`: its keeper gets no answers; its lease may still run.
 * - `lapsed`: its lease is over and it serves nothing.
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
    /** Why it is not ready; empty when it is. */
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
