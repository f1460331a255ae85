import {
  RESULT_CODES,
  type ResultCode,
  type ResultName,
  familyOf,
  httpStatusOf,
  retryAfterOf,
} from '@boragepoint/config';
import type { HeaderLine, RoutedAnswer } from '@boragepoint/routing';

const SECOND_MS = 1_000;
/** Value of `retry-after` when a refusal must have one and no better time is known. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Header with the numbered result code of a refusal. */
export const RESULT_HEADER = 'bp-result';
/** Header with the request's id. */
export const REQUEST_ID_HEADER = 'bp-request-id';
/** Header that marks an answer stored by an earlier run of the same Idempotency-Key. */
export const REPLAYED_HEADER = 'bp-replayed';

const STATUSES_WITHOUT_BODY = new Set([101, 204, 205, 304]);

function retryAfterFor(code: ResultCode, knownMs: number | undefined): number | undefined {
  return knownMs ?? (retryAfterOf(code) === 'yes' ? DEFAULT_RETRY_AFTER_MS : undefined);
}

/** Creates the response of a refusal, with its code, name, family and message as JSON. */
export function refusalResponse(
  requestId: string,
  result: ResultName,
  message: string,
  knownRetryAfterMs?: number,
): Response {
  const code = RESULT_CODES[result];
  const retryAfterMs = retryAfterFor(code, knownRetryAfterMs);
  const body = { code, name: result, family: familyOf(code), message, requestId, retryAfterMs };
  const headers = new Headers({ [RESULT_HEADER]: String(code), [REQUEST_ID_HEADER]: requestId });
  if (retryAfterMs !== undefined) {
    headers.set('retry-after', String(Math.max(1, Math.ceil(retryAfterMs / SECOND_MS))));
  }
  return Response.json(body, { status: httpStatusOf(code), headers });
}

/**
 * Returns a plain object, which is cheaper than `Headers`, unless a name occurs more than once: an
 * object holds one value per name.
 */
function headersOf(lines: readonly HeaderLine[]): Headers | Record<string, string> {
  const byName = Object.fromEntries(lines.map((it) => [it.name, it.value]));
  if (Object.keys(byName).length === lines.length) return byName;
  return new Headers(lines.map((it): [string, string] => [it.name, it.value]));
}

/** Creates the response for a caller. */
export function toResponse(requestId: string, routed: RoutedAnswer): Response {
  if (routed.kind === 'refused') {
    return refusalResponse(requestId, routed.result, routed.message, routed.retryAfterMs);
  }
  const { status, headers: lines, body } = routed.answer;
  const own = [{ name: REQUEST_ID_HEADER, value: requestId }];
  if (routed.replayed) own.push({ name: REPLAYED_HEADER, value: 'true' });
  const headers = headersOf([...lines, ...own]);
  const content = STATUSES_WITHOUT_BODY.has(status) ? null : (body as Uint8Array<ArrayBuffer>);
  return new Response(content, { status, headers });
}
