import { REQUEST_HEADERS, type ShardEpoch } from '@boragepoint/platform';
import type { Context } from 'hono';

import { monotonicMs } from '../clock.js';
import type { NodeEnv } from '../listen.js';

/** Headers by which a caller steers the stand-in backend server. */
export const WORK_HEADERS = {
  /** Time that the request takes, in milliseconds. */
  workMs: 'x-work-ms',
  /** `1` ends the process while it runs the request. */
  crash: 'x-crash',
  /** Size of the answer, in bytes. */
  answerBytes: 'x-answer-bytes',
  /** `1` or `0`: whether the request may be repeated; without it, the method decides. */
  idempotent: 'x-idempotent',
  idempotencyKey: 'idempotency-key',
} as const;

const SAFE_METHODS = new Set(['GET', 'HEAD']);

/** A caller's request as a router hands it to a backend server. */
export interface ServerRequest {
  readonly shard: ShardEpoch;
  readonly requestId: string;
  readonly key: string;
  readonly idempotencyKey: string | undefined;
  readonly idempotent: boolean;
  /** Monotonic time after which the request isn't begun. */
  readonly deadline: number;
  readonly workMs: number | undefined;
  readonly crashes: boolean;
  readonly answerBytes: number;
}

function numberFrom(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

/** Reads the headers of a request. */
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
