import { request, type Dispatcher } from 'undici';
import * as v from 'valibot';

import { monotonicMs } from '../clock.js';
import type { AttemptRecord, RequestKind } from './load-plan.js';

/** Headers of requests and answers between callers and routers. */
export const CALLER_HEADERS = {
  caller: 'bp-caller',
  result: 'bp-result',
  requestId: 'bp-request-id',
  idempotencyKey: 'idempotency-key',
} as const;

const HTTP_OK = 200;
const NO_ANSWER = { status: 0, code: -1, requestId: '', server: '', mismatched: false };
const answerBodySchema = v.object({ server: v.string(), path: v.string() });

/** One request of a load. */
export interface LoadRequest {
  readonly kind: RequestKind;
  readonly number: number;
  readonly key: string;
  readonly caller: string;
  readonly idempotencyKey: string | undefined;
}

/** Router and timing of an attempt. */
export interface Attempt {
  readonly number: number;
  readonly router: string;
  /** Monotonic time at which the attempt is due, in milliseconds. */
  readonly dueAt: number;
  readonly timeoutMs: number;
}

function headerText(value: string | string[] | undefined): string {
  return Array.isArray(value) ? (value[0] ?? '') : (value ?? '');
}

function headersOf({ kind, caller, idempotencyKey }: LoadRequest): Record<string, string> {
  const headers: Record<string, string> = {
    ...kind.headers,
    [CALLER_HEADERS.caller]: caller,
    'x-idempotent': kind.idempotent ? '1' : '0',
  };
  if (idempotencyKey !== undefined) headers[CALLER_HEADERS.idempotencyKey] = idempotencyKey;
  return headers;
}

function readServer(text: string, marker: string): Pick<AttemptRecord, 'server' | 'mismatched'> {
  const parsed = v.safeParse(v.pipe(v.string(), v.parseJson(), answerBodySchema), text);
  if (!parsed.success) return { server: '', mismatched: true };
  return { server: parsed.output.server, mismatched: !parsed.output.path.endsWith(marker) };
}

async function sendAndRead(dispatcher: Dispatcher, req: LoadRequest, attempt: Attempt) {
  const { kind, key, number } = req;
  // The backend server's answer repeats the path, so the query shows to which request it belongs.
  const marker = `?n=${number}`;
  const path = kind.path.replace('{key}', key);
  const res = await request(`http://${attempt.router}/${kind.service}${path}${marker}`, {
    dispatcher,
    method: kind.method,
    headers: headersOf(req),
    body: kind.method === 'GET' ? null : `request ${number}`,
    signal: AbortSignal.timeout(attempt.timeoutMs),
  });
  const text = await res.body.text();
  const code = headerText(res.headers[CALLER_HEADERS.result]);
  const run = res.statusCode === HTTP_OK ? readServer(text, marker) : undefined;
  return {
    status: res.statusCode,
    code: code === '' ? (res.statusCode === HTTP_OK ? 0 : -1) : Number(code),
    requestId: headerText(res.headers[CALLER_HEADERS.requestId]),
    server: run?.server ?? '',
    mismatched: run?.mismatched ?? false,
  };
}

/** Sends one attempt; an attempt without a complete answer is recorded with status 0. */
export async function sendAttempt(
  dispatcher: Dispatcher,
  req: LoadRequest,
  attempt: Attempt,
): Promise<AttemptRecord> {
  const answer = await sendAndRead(dispatcher, req, attempt).catch(() => NO_ANSWER);
  const at = monotonicMs();
  return {
    kind: req.kind.name,
    service: req.kind.service,
    caller: req.caller,
    router: attempt.router,
    key: req.key,
    request: req.number,
    attempt: attempt.number,
    ...(req.idempotencyKey === undefined ? {} : { idempotencyKey: req.idempotencyKey }),
    at,
    latencyMs: at - attempt.dueAt,
    ...answer,
  };
}
