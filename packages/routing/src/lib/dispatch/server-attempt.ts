import {
  ANSWER_HEADERS,
  REQUEST_HEADERS,
  type RefusalReason,
  UNLIMITED_ROOM,
  createBodyParts,
  isFinalStatus,
  refusalReasonSchema,
} from '@boragepoint/platform';
import type { Assignment } from '@boragepoint/ownership';
import type { Dispatcher } from 'undici';
import * as v from 'valibot';

import type { BackendAnswer, HeaderLine, RoutedRequest } from './routed-request.js';

/** Outcome of one attempt at a backend server. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly answer: BackendAnswer;
      /** Number of requests running or waiting at the backend server, as it reported. */
      readonly serverLoad?: number | undefined;
    }
  /** The backend server reported that it did not run the request. */
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly epoch: number }
  /** No connection was opened, so the request was not run. */
  | { readonly kind: 'not-connected' }
  /** The connection was lost before the answer was complete. */
  | { readonly kind: 'connection-lost' }
  /** The attempt was aborted by the deadline, the caller, a change of owner or the shutdown. */
  | { readonly kind: 'aborted' }
  /** The answer is larger than the rule allows. */
  | { readonly kind: 'too-large' }
  /** The answer has the id of another request, an invalid status or an unknown refusal reason. */
  | { readonly kind: 'wrong-answer' };

/** Error codes that prove that no connection was opened. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);
const MIN_DEADLINE_MS = 1;

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

/** True for headers that are forwarded between callers and backend servers. */
export function isEndToEnd(name: string): boolean {
  return !HOP_BY_HOP_HEADERS.has(name) && !name.startsWith('bp-');
}

function requestHeaders(req: RoutedRequest, target: Assignment): Record<string, string> {
  const forwarded = req.headers.filter((it) => isEndToEnd(it.name));
  const leftMs = Math.max(MIN_DEADLINE_MS, Math.floor(req.deadlineAt - performance.now()));
  return {
    ...Object.fromEntries(forwarded.map((it) => [it.name, it.value])),
    [REQUEST_HEADERS.service]: req.service.name,
    [REQUEST_HEADERS.shard]: String(target.shard),
    [REQUEST_HEADERS.epoch]: String(target.epoch),
    [REQUEST_HEADERS.requestId]: req.requestId,
    [REQUEST_HEADERS.deadline]: String(leftMs),
  };
}

function answerHeaders(headers: Dispatcher.ResponseData['headers']): HeaderLine[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || !isEndToEnd(name)) return [];
    return [value].flat().map((it) => ({ name, value: it }));
  });
}

function singleHeader(res: Dispatcher.ResponseData, name: string): string | undefined {
  const value = res.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

async function readBody(
  res: Dispatcher.ResponseData,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  const sizes = { length: undefined, firstBytes: 0, maxBytes };
  const parts = createBodyParts(sizes, UNLIMITED_ROOM);
  for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
    if (parts.size() + chunk.length > maxBytes) return undefined;
    parts.add(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length));
  }
  return parts.body() ?? Buffer.alloc(0);
}

async function readOutcome(
  res: Dispatcher.ResponseData,
  req: RoutedRequest,
): Promise<AttemptOutcome> {
  const reason = singleHeader(res, ANSWER_HEADERS.refusal);
  const isForRequest = singleHeader(res, ANSWER_HEADERS.requestId) === req.requestId;
  if (!isForRequest || !isFinalStatus(res.statusCode)) {
    await res.body.dump();
    return { kind: 'wrong-answer' };
  }
  if (reason !== undefined) {
    await res.body.dump();
    const epoch = Number(singleHeader(res, ANSWER_HEADERS.epoch) ?? 0);
    const parsed = v.safeParse(refusalReasonSchema, reason);
    if (!parsed.success) return { kind: 'wrong-answer' };
    return { kind: 'refused', reason: parsed.output, epoch };
  }
  const body = await readBody(res, req.rule.maxAnswerBytes);
  if (body === undefined) return { kind: 'too-large' };
  const headers = answerHeaders(res.headers);
  const load = singleHeader(res, ANSWER_HEADERS.load);
  const serverLoad = load === undefined ? undefined : Number(load);
  return { kind: 'answered', answer: { status: res.statusCode, headers, body }, serverLoad };
}

function errorOutcome(cause: unknown, signal: AbortSignal): AttemptOutcome {
  const code = cause instanceof Error && 'code' in cause ? String(cause.code) : '';
  if (CONNECT_ERROR_CODES.has(code)) return { kind: 'not-connected' };
  if (signal.aborted) return { kind: 'aborted' };
  return { kind: 'connection-lost' };
}

/**
 * Sends a request to a backend server once and reads the complete answer. A truncated answer, or
 * one with the id of another request, is never returned as the answer.
 */
export async function sendAttempt(
  client: Dispatcher,
  req: RoutedRequest,
  target: Assignment,
  signal: AbortSignal,
): Promise<AttemptOutcome> {
  try {
    const res = await client.request({
      method: req.method,
      path: req.path,
      headers: requestHeaders(req, target),
      body: req.body.length === 0 ? null : req.body,
      signal,
      // The client must not retry by itself a request that may already have run.
      idempotent: false,
    });
    return await readOutcome(res, req);
  } catch (cause) {
    return errorOutcome(cause, signal);
  }
}
