import type { ServerResponse } from 'node:http';

import { RESULT_CODES } from '@boragepoint/config';

import { answerHeaders } from './forwarded-headers.js';
import { type OwnAnswer, type CallerAnswer, ownAnswer } from './caller-answer.js';

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

/** Writes a backend server's answer. */
export function writeServerAnswer(
  res: ServerResponse,
  { answer }: Extract<CallerAnswer, { kind: 'server' }>,
): void {
  const headers = answerHeaders(answer.headers);
  const isBodiless = answer.status === 204 || answer.status === 304;
  // An answer without framing is passed on without framing, because it may have been truncated.
  if (!answer.framed && !isBodiless) res.useChunkedEncodingByDefault = false;
  const hasLength = answer.framed && !isBodiless;
  const length = hasLength ? { 'content-length': String(answer.body.length) } : {};
  res.writeHead(answer.status, { ...headers, ...length });
  res.end(answer.body);
}

/** Whether an answer with this status can be passed on; a faulty server may send any number. */
export const isWritable = (status: number) => status >= 200 && status <= 999;
/** Replaces a server's answer that can't be passed on. */
export const UNWRITABLE_ANSWER = ownAnswer('answerIncomplete', 'the answer has no valid status');
