import type { Dispatcher } from 'undici';

import { postJson } from './http-call.js';
import type { TableService } from './table-service.js';
import {
  TABLE_PATHS,
  rowsAnswerSchema,
  scanRequestSchema,
  transactAnswerSchema,
} from './table-wire.js';
import type * as v from 'valibot';

/** Creates an HTTP client of a table service. The caller closes the pool. */
export function createHttpTableService(pool: Dispatcher): TableService {
  return {
    async read(keys) {
      const answer = await postJson(pool, TABLE_PATHS.read, { keys }, rowsAnswerSchema, false);
      return answer.map((it) => it.rows);
    },
    async scan(prefix) {
      const body: v.InferInput<typeof scanRequestSchema> = { prefix };
      const answer = await postJson(pool, TABLE_PATHS.scan, body, rowsAnswerSchema, false);
      return answer.map((it) => it.rows);
    },
    transact(writes) {
      return postJson(pool, TABLE_PATHS.transact, { writes }, transactAnswerSchema, true);
    },
  };
}
