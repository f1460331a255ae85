import type { ServerResponse } from 'node:http';

import { RESULT_CODES } from '@boragepoint/config';
import { hasNoBody } from '@boragepoint/platform';

import { answerHeaders } from './forwarded-headers.js';
import { type OwnAnswer, type CallerAnswer, ownAnswer } from './caller-answer.js';
import type { ServerAnswer } from './send-request.js';

/** Header that carries the result code of the router's own answers. */
const RESULT_HEADER = 'bp-result';

/** Writes one of the router's own answers. */
export function writeOwnAnswer(
  res: ServerResponse,
  answer: OwnAnswer,
  headers: Record<string, string>,
): void {
  const { result, reason, retryAfterMs } = answer;
  const code = RESULT_CODES[result];
  const body = JSON.stringify({ code, name: result, message: reason });
  res.writeHead(answer.status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [RESULT_HEADER]: String(code),
    ...(retryAfterMs !== undefined && { 'retry-after': (retryAfterMs / 1_000).toFixed(3) }),
  });
  res.end(body);
}

/**
 * The length to state for an answer. To HEAD it is the one that the server stated, if any, which is
 * that of the body a GET would get; 204 and 304 state none.
 */
function lengthOf({ status, headers, body }: ServerAnswer, method: string | undefined) {
  if (hasNoBody(status)) return undefined;
  if (method !== 'HEAD') return String(body.length);
  const stated = headers['content-length'];
  return typeof stated === 'string' && /^\d+$/.test(stated) ? stated : undefined;
}

/**
 * Writes a backend server's answer, which has been received whole. It always states its length, so
 * that the caller can tell a part of it, and the connection can go on.
 */
export function writeServerAnswer(
  res: ServerResponse,
  { answer }: Extract<CallerAnswer, { kind: 'server' }>,
): void {
  const headers = answerHeaders(answer.headers);
  const length = lengthOf(answer, res.req.method);
  res.writeHead(answer.status, { ...headers, ...(length && { 'content-length': length }) });
  res.end(answer.body);
}

/** Replaces a server's answer that can't be passed on. */
export const UNWRITABLE_ANSWER = ownAnswer('answerIncomplete', 'the answer has no valid status');
