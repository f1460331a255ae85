import type { IncomingMessage } from 'node:http';

import type { HeaderCodec } from '@boragepoint/platform';

import type { BodyMemory, BodyRoom } from './body-memory.js';
import { type CallerAnswer, ownAnswer } from './caller-answer.js';
import type { CallerRequest } from './caller-request.js';
import { createChunkAllowance } from './chunk-allowance.js';
import { type ReadBody, readBody } from './read-body.js';
import type { RouteTable } from './route-table.js';

/** Deadline of requests that state none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;
/**
 * How long before a caller's deadline the router answers, in milliseconds: the caller measures the
 * deadline on its own clock.
 */
const DEADLINE_MARGIN_MS = 40;
/** `Retry-After` of a router that has not loaded its configuration yet, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500;

/** `Retry-After` of a request for whose body or answer there is no room, in milliseconds. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;

/** Dependencies of the reader. */
export interface RequestReaderContext {
  readonly codec: HeaderCodec;
  /** The active routes; `undefined` before the first configuration. */
  routes(): RouteTable | undefined;
  handle(req: CallerRequest): Promise<CallerAnswer>;
  /** Monotonic time in milliseconds. */
  now(): number;
  /** When the router stops, in milliseconds of the monotonic clock; `Infinity` until it is asked to. */
  stopsAt(): number;
}

/** The answer to a request, and the request if it reached the handler. */
export interface FoundAnswer {
  readonly answer: CallerAnswer;
  readonly callerReq?: CallerRequest;
}

/** Reads requests and has them handled. */
export interface RequestReader {
  /**
   * Reads the body of a request and finds its answer. `arrivedAt` is on the monotonic clock;
   * `disconnectSignal` aborts when the caller has left.
   */
  answer(
    req: IncomingMessage,
    disconnectSignal: AbortSignal,
    arrivedAt: number,
  ): Promise<FoundAnswer>;
}

/** Creates a reader; `hasRoom` tells whether there is room for one more answer. */
export function createRequestReader(
  ctx: RequestReaderContext,
  hasRoom: () => boolean,
  bodies: BodyMemory,
): RequestReader {
  const chunkAllowance = createChunkAllowance(() => ctx.now());

  async function readWithin(
    req: IncomingMessage,
    maxBytes: number,
    room: BodyRoom,
  ): Promise<ReadBody> {
    using chunks = chunkAllowance.begin();
    return await readBody(req, { maxBytes, room, chunks });
  }

  async function answer(
    req: IncomingMessage,
    disconnectSignal: AbortSignal,
    arrivedAt: number,
  ): Promise<FoundAnswer> {
    const table = ctx.routes();
    const target = req.url ?? '/';
    const route = table?.find(req.headers.host ?? '', target.split('?')[0] ?? target);
    using room = bodies.begin();
    const read = await readWithin(req, table?.cfg.limits.maxBodyBytes ?? 0, room);
    if (read.kind === 'disconnected' || disconnectSignal.aborted)
      return { answer: { kind: 'none' } };
    if (!table) {
      return {
        answer: ownAnswer('routerNotReady', 'no configuration yet', NOT_READY_RETRY_AFTER_MS),
      };
    }
    if (req.headers.host === undefined && req.httpVersion === '1.1') {
      return { answer: ownAnswer('badRequest', 'the request has no host') };
    }
    if (!route) return { answer: ownAnswer('noMatchingRule', 'no route for this path') };
    if (read.kind === 'too-large') {
      return { answer: ownAnswer('bodyTooLarge', 'the body is over the limit') };
    }
    if (read.kind === 'too-many-chunks') {
      const reason = 'other bodies of tiny chunks are being read';
      return { answer: ownAnswer('overloaded', reason, NO_ROOM_RETRY_AFTER_MS) };
    }
    if (read.kind === 'no-room') {
      const reason = 'the bodies of other requests take all room';
      return { answer: ownAnswer('overloaded', reason, NO_ROOM_RETRY_AFTER_MS) };
    }
    if (!hasRoom()) {
      const reason = 'answers that callers have not read take all room';
      return { answer: ownAnswer('overloaded', reason, NO_ROOM_RETRY_AFTER_MS) };
    }
    const meta = ctx.codec.readRequest(req.headers);
    if (meta.attemptId === undefined) {
      return { answer: ownAnswer('badRequest', 'the request has no id') };
    }
    const deadlineMs = meta.deadlineMs ?? DEFAULT_DEADLINE_MS;
    const timeoutMs = Math.min(route.cfg.timeoutMs, deadlineMs - DEADLINE_MARGIN_MS);
    const callerReq: CallerRequest = {
      method: req.method ?? 'GET',
      target,
      rawHeaders: req.rawHeaders,
      connection: req.headers.connection,
      body: read.body,
      attemptId: meta.attemptId,
      caller: req.socket.remoteAddress ?? '',
      meta,
      route,
      service: route.nextService(),
      arrivedAt,
      answerBy: Math.min(arrivedAt + timeoutMs, ctx.stopsAt()),
      deadlineAt: arrivedAt + deadlineMs,
      disconnectSignal,
    };
    return { answer: await ctx.handle(callerReq), callerReq };
  }

  return { answer };
}
