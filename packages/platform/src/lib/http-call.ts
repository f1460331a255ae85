import { Result, err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import * as v from 'valibot';

import { PlatformError } from './platform-error.js';
import { createProgressTimeout, readWithProgress } from './progress-timeout.js';

/** Maximum size of an answer of a platform service, in bytes. */
const MAX_ANSWER_BYTES = 64 << 20;
/** Limits of a call. The total time is not limited, since objects may be large. */
const CALL_LIMITS = { firstByteTimeoutMs: 2_000, progressTimeoutMs: 2_000 };
const HTTP_SERVICE_UNAVAILABLE = 503;

/** An answer of the platform, before it is decoded. */
export interface PlatformAnswer {
  readonly status: number;
  readonly body: Uint8Array;
}

/** A call to the platform. */
export interface PlatformCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string | Uint8Array;
  /**
   * True if the call changes stored data, so that its outcome is unknown when the answer is lost.
   */
  readonly isWrite: boolean;
}

/** Error codes of calls that failed before the request was sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

function wasNotSent(cause: unknown): boolean {
  return cause instanceof Error && 'code' in cause && NOT_SENT_CODES.has(String(cause.code));
}

/** Sends a call and reads the complete answer. @internal */
export async function callPlatform(
  pool: Dispatcher,
  call: PlatformCall,
): Promise<Result<PlatformAnswer, PlatformError>> {
  using timeout = createProgressTimeout(CALL_LIMITS);
  try {
    const res = await pool.request({
      method: call.method,
      path: call.path,
      body: call.body ?? null,
      headers: { 'content-type': 'application/json' },
      signal: timeout.signal,
    });
    const body = new Uint8Array(await readWithProgress(res.body, timeout, MAX_ANSWER_BYTES));
    if (res.statusCode === HTTP_SERVICE_UNAVAILABLE) {
      return err(new PlatformError(`${call.path}: service unavailable`, false));
    }
    return ok({ status: res.statusCode, body });
  } catch (cause) {
    const mayHaveTakenEffect = call.isWrite && !wasNotSent(cause);
    return err(
      new PlatformError(`${call.path}: no complete answer`, mayHaveTakenEffect, { cause }),
    );
  }
}

/** Sends JSON by POST and validates the answer against a schema. @internal */
export async function postJson<S extends v.GenericSchema>(
  pool: Dispatcher,
  path: string,
  body: unknown,
  schema: S,
  isWrite: boolean,
): Promise<Result<v.InferOutput<S>, PlatformError>> {
  const answer = await callPlatform(pool, {
    method: 'POST',
    path,
    body: JSON.stringify(body),
    isWrite,
  });
  return answer.andThen((it) => parseAnswer(path, it, schema, isWrite));
}

/** Parses a JSON answer and validates it against a schema. @internal */
export function parseAnswer<S extends v.GenericSchema>(
  path: string,
  answer: PlatformAnswer,
  schema: S,
  isWrite: boolean,
): Result<v.InferOutput<S>, PlatformError> {
  const text = new TextDecoder().decode(answer.body);
  const json = Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (cause) => new PlatformError(`${path}: the answer is not JSON`, isWrite, { cause }),
  )();
  return json.andThen((value) => {
    const parsed = v.safeParse(schema, value);
    if (!parsed.success) {
      const issue = parsed.issues[0].message;
      return err(
        new PlatformError(`${path}: status ${answer.status}, unexpected answer: ${issue}`, isWrite),
      );
    }
    return ok(parsed.output);
  });
}
