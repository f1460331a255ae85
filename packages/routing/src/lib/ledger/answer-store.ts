import { createHash } from 'node:crypto';

import type { ObjectStore } from '@boragepoint/platform';
import { type Result, ok } from 'neverthrow';
import type { PlatformError } from '@boragepoint/platform';

import type { RecordedAnswer, RecordedBody } from './intent-record.js';
import type { ServerAnswer } from './ledger-types.js';

function sha256(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Stores the body of an answer and returns the form in which its row records it. @internal */
export async function recordAnswer(
  objects: ObjectStore,
  objectKey: string,
  answer: ServerAnswer,
  inlineBytes: number,
): Promise<Result<RecordedAnswer, PlatformError>> {
  const { status, headers, body } = answer;
  const recordWith = (it: RecordedBody) => ({ status, headers: [...headers], body: it });
  if (body.length <= inlineBytes) {
    return ok(recordWith({ in: 'row', base64: Buffer.from(body).toString('base64') }));
  }
  const put = await objects.put(objectKey, body);
  return put.map(() =>
    recordWith({ in: 'object', key: objectKey, bytes: body.length, sha256: sha256(body) }),
  );
}

/**
 * Loads a recorded answer. Returns `undefined` when its object is missing or differs from the one
 * that was stored.
 * @internal
 */
export async function loadAnswer(
  objects: ObjectStore,
  recorded: RecordedAnswer,
): Promise<Result<ServerAnswer | undefined, PlatformError>> {
  const { status, headers, body } = recorded;
  if (body.in === 'row') {
    return ok({ status, headers, body: new Uint8Array(Buffer.from(body.base64, 'base64')) });
  }
  const got = await objects.get(body.key);
  return got.map((bytes) => {
    const isIntact = bytes?.length === body.bytes && sha256(bytes) === body.sha256;
    return isIntact ? { status, headers, body: bytes } : undefined;
  });
}
