import type { Dispatcher } from 'undici';
import * as v from 'valibot';

import { callPlatform, parseAnswer } from './http-call.js';
import { type InstanceList, instanceRecordSchema } from './instance-list.js';
import { INSTANCES_PATH } from './table-wire.js';

const instancesSchema = v.array(instanceRecordSchema);

/** Creates an HTTP client of an instance list. The caller closes the pool. */
export function createHttpInstanceList(pool: Dispatcher): InstanceList {
  return {
    async list() {
      const answer = await callPlatform(pool, {
        method: 'GET',
        path: INSTANCES_PATH,
        isWrite: false,
      });
      return answer.andThen((it) => parseAnswer(INSTANCES_PATH, it, instancesSchema, false));
    },
  };
}
