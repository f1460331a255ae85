import { type Result, err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';

import { type PlatformAnswer, callPlatform } from './http-call.js';
import type { ObjectStore } from './object-store.js';
import { PlatformError } from './platform-error.js';
import { OBJECTS_PATH } from './table-wire.js';

const HTTP_NOT_FOUND = 404;
const MIN_ERROR_STATUS = 400;

function pathOf(key: string): string {
  return OBJECTS_PATH + encodeURIComponent(key);
}

function requireSuccess(answer: PlatformAnswer): Result<PlatformAnswer, PlatformError> {
  if (answer.status < MIN_ERROR_STATUS) return ok(answer);
  return err(new PlatformError(`object store answered with status ${answer.status}`, true));
}

/** Creates an HTTP client of an object store. The caller closes the pool. */
export function createHttpObjectStore(pool: Dispatcher): ObjectStore {
  return {
    async put(key, body) {
      const answer = await callPlatform(pool, {
        method: 'PUT',
        path: pathOf(key),
        body,
        isWrite: true,
      });
      return answer.andThen(requireSuccess).map(() => undefined);
    },
    async get(key) {
      const answer = await callPlatform(pool, {
        method: 'GET',
        path: pathOf(key),
        isWrite: false,
      });
      if (answer.isOk() && answer.value.status === HTTP_NOT_FOUND) return ok(undefined);
      return answer.andThen(requireSuccess).map((it) => it.body);
    },
    async delete(key) {
      const answer = await callPlatform(pool, {
        method: 'DELETE',
        path: pathOf(key),
        isWrite: true,
      });
      if (answer.isOk() && answer.value.status === HTTP_NOT_FOUND) return ok(undefined);
      return answer.andThen(requireSuccess).map(() => undefined);
    },
  };
}
