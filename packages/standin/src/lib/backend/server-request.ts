import { REQUEST_HEADERS, type ShardEpoch } from '@boragepoint/platform';
import type { Context } from 'hono';

import { monotonicMs } from '../clock.js';
import type { NodeEnv } from '../listen.js';

/** Request headers that control how the stand-in backend server processes a request. */
export const WORK_HEADERS = {
  /** Processing time of the request, in milliseconds. */
  workMs: 'x-work-ms',
  /** `1` makes the process exit while it runs the request. */
  crash: 'x-crash',
  /** Minimum size of the answer body, in bytes. */
  answerBytes: 'x-answer-bytes',
  /** `1` or `0`: whether the request is idempotent; without it, GET and HEAD are. */
  idempotent: 'x-idempotent',
  idempotencyKey: 'idempotency-key',
} as const;

const SAFE_METHODS = new Set(['GET', 'HEAD']);

/** A caller's request as a router forwards it to a backend server. */
export interface ServerRequest {
  readonly shard: ShardEpoch;
  readonly requestId: string;
  readonly key: string;
  readonly idempotencyKey: string | undefined;
  readonly idempotent: boolean;
  /** Monotonic time in milliseconds after which the request is not started. */
  readonly deadline: number;
  readonly workMs: number | undefined;
  readonly crashes: boolean;
  readonly answerBytes: number;
}

function numberFrom(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

/** Reads the routing and control headers of a request. */
export function readServerRequest(c: Context<NodeEnv>): ServerRequest {
  const header = (name: string) => c.req.header(name);
  const url = new URL(c.req.url);
  const deadlineMs = numberFrom(header(REQUEST_HEADERS.deadline)) ?? Infinity;
  const idempotent = header(WORK_HEADERS.idempotent);
  return {
    shard: {
      service: header(REQUEST_HEADERS.service) ?? '',
      shard: numberFrom(header(REQUEST_HEADERS.shard)) ?? -1,
      epoch: numberFrom(header(REQUEST_HEADERS.epoch)) ?? 0,
    },
    requestId: header(REQUEST_HEADERS.requestId) ?? '',
    key: url.pathname + url.search,
    idempotencyKey: header(WORK_HEADERS.idempotencyKey),
    idempotent: idempotent === undefined ? SAFE_METHODS.has(c.req.method) : idempotent === '1',
    deadline: monotonicMs() + deadlineMs,
    workMs: numberFrom(header(WORK_HEADERS.workMs)),
    crashes: header(WORK_HEADERS.crash) === '1',
    answerBytes: numberFrom(header(WORK_HEADERS.answerBytes)) ?? 0,
  };
}
