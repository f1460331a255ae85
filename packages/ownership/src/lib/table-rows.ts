import { serviceConfigSchema } from '@boragepoint/config';
import * as v from 'valibot';

/** Number of shards in one assignment row. */
export const SHARDS_PER_ROW = 256;

/** Prefixes of the rows that every router holds. */
export const ROW_PREFIXES = { config: 'config/', assign: 'assign/', keeper: 'keeper/' } as const;

/** Owner of one shard. */
export const assignmentSchema = v.object({
  shard: v.number(),
  /** Set when the shard is a pin: the one key that it holds. */
  key: v.optional(v.string()),
  /** Id of the backend server that owns the shard. */
  owner: v.string(),
  /** Rises with each change of owner. */
  epoch: v.number(),
  /** Backend server that takes over under `epoch + 1`; empty when there is none. */
  successor: v.string(),
});
export type Assignment = v.InferOutput<typeof assignmentSchema>;

/** One change of owner, stored so that operators can see why it happened. */
export const moveRecordSchema = v.object({
  shard: v.number(),
  from: v.string(),
  to: v.string(),
  epoch: v.number(),
  reason: v.string(),
  /** Router that recorded the change. */
  by: v.string(),
  /** Wall-clock time in ISO 8601, for display only. */
  at: v.string(),
});
export type MoveRecord = v.InferOutput<typeof moveRecordSchema>;

/** Value of an `assign/SERVICE/CHUNK` row. */
export const assignRowSchema = v.object({
  writer: v.string(),
  shards: v.array(assignmentSchema),
  /** The latest moves, oldest first. */
  history: v.array(moveRecordSchema),
});
export type AssignRow = v.InferOutput<typeof assignRowSchema>;

/** The right of one incarnation of a router to renew a backend server's lease under an epoch. */
export const keeperRoleSchema = v.object({
  router: v.string(),
  incarnation: v.string(),
  epoch: v.number(),
});
export type KeeperRole = v.InferOutput<typeof keeperRoleSchema>;

/** Value of a `keeper/BACKEND-SERVER` row. */
export const keeperRowSchema = v.object({
  writer: v.string(),
  service: v.string(),
  acting: keeperRoleSchema,
  standby: v.optional(keeperRoleSchema),
  /** Lowest keeper epoch that no role has had. */
  nextEpoch: v.number(),
  /** Incarnation of the backend server that shards may be granted to. */
  serverStart: v.optional(v.string()),
  /** Keeper epoch up to which all keepers are gone, as verified by an operator. */
  deposedUpTo: v.optional(v.number()),
});
export type KeeperRow = v.InferOutput<typeof keeperRowSchema>;

/** Value of a `config/SERVICE` row. */
export const configRowSchema = v.object({
  writer: v.string(),
  /** Operator who submitted it, shown to another operator whose change conflicts. */
  operator: v.optional(v.string()),
  config: serviceConfigSchema,
});
export type ConfigRow = v.InferOutput<typeof configRowSchema>;

/** Key of the row that holds a service's configuration. */
export function configKey(service: string): string {
  return ROW_PREFIXES.config + service;
}

/** Key of the row that holds a shard's assignment. */
export function assignKey(service: string, shard: number): string {
  return `${ROW_PREFIXES.assign}${service}/${Math.floor(shard / SHARDS_PER_ROW)}`;
}

/** Key of the row that names a backend server's keepers. */
export function keeperKey(server: string): string {
  return ROW_PREFIXES.keeper + server;
}
