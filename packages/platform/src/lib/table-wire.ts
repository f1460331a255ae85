import * as v from 'valibot';

/**
 * Wire format of the table service, JSON over HTTP POST:
 * - `/v1/table/read`: {@link readRequestSchema} to {@link rowsAnswerSchema}
 * - `/v1/table/scan`: {@link scanRequestSchema} to {@link rowsAnswerSchema}
 * - `/v1/table/transact`: {@link transactRequestSchema} to {@link transactAnswerSchema}
 *
 * Objects are written, read and removed by `PUT`, `GET` and `DELETE` on `/v1/objects/KEY`.
 * `GET /v1/instances` returns the instance list, an array of instance records. Status 503 means
 * that the call had no effect.
 */
export const TABLE_PATHS = {
  read: '/v1/table/read',
  scan: '/v1/table/scan',
  transact: '/v1/table/transact',
} as const;
export const OBJECTS_PATH = '/v1/objects/';
export const INSTANCES_PATH = '/v1/instances';

const tableRowSchema = v.object({ key: v.string(), version: v.number(), value: v.string() });

export const readRequestSchema = v.object({ keys: v.array(v.string()) });
export const scanRequestSchema = v.object({ prefix: v.string() });
export const rowsAnswerSchema = v.object({ rows: v.array(tableRowSchema) });
export const transactRequestSchema = v.object({
  writes: v.array(
    v.object({
      key: v.string(),
      expectedVersion: v.number(),
      value: v.optional(v.nullable(v.string())),
    }),
  ),
});
export const transactAnswerSchema = v.variant('committed', [
  v.object({ committed: v.literal(true) }),
  v.object({ committed: v.literal(false), conflicts: v.array(v.string()) }),
]);
