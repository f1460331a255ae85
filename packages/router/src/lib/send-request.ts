import {
  type AnswerMeta,
  type HeaderCodec,
  type HeaderValues,
  ResponseFramingError,
  ResponseMemoryError,
  isFinalStatus,
  isFramed,
  isInterimStatus,
} from '@boragepoint/platform';
import { type Dispatcher, errors } from 'undici';

import { type AnswerBody, createAnswerBody } from './answer-body.js';
import type { AnswerMemory } from './answer-memory.js';
import type { RequestConnections } from './server-connections.js';

/** A request as it goes to a backend server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Header names and values in alternation. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string;
  /** Whether it may run twice, so that it can be sent again after a reset. */
  readonly idempotent?: boolean;
}

/** A complete answer of a backend server. */
export interface ServerAnswer {
  readonly status: number;
  readonly headers: HeaderValues;
  readonly body: Buffer;
  /** Whether the answer itself marks its end; the end of its connection does otherwise. */
  readonly framed: boolean;
  readonly meta: AnswerMeta;
}

/**
 * Outcome of sending a request to one server:
 * - `answer`: the server's complete answer to this request.
 * - `not-run`: the request provably did not run; `refused` if nothing listens at the address,
 *   `unconnected` if no connection was established, `shed`, `misdirected` or `invalid` if the
 *   server said so, `paused` if the server asked for back-off, had begun to leave, was gone or was no
 *   longer eligible before the request was sent,
 *   `cancelled` if the caller disconnected or the time to answer passed before it was sent.
 * - `unknown`: the request may have run; `broken-off` if the connection broke, `garbled` if the
 *   answer is invalid, `oversized` if it exceeded a limit of size or memory, `cancelled` if the caller disconnected
 *   or the time to answer passed.
 */
export type SendOutcome =
  | { readonly kind: 'answer'; readonly answer: ServerAnswer }
  | {
      readonly kind: 'not-run';
      readonly why:
        'refused' | 'unconnected' | 'shed' | 'misdirected' | 'invalid' | 'cancelled' | 'paused';
      readonly answer?: ServerAnswer;
    }
  | {
      readonly kind: 'unknown';
      readonly why: 'broken-off' | 'garbled' | 'oversized' | 'cancelled';
      readonly detail: string;
    };

const HTTP_MISDIRECTED = 421;
const HTTP_BAD_REQUEST = 400;

/**
 * Aborts a request that received an answer not known to be its own, or with a status that HTTP does
 * not have; this closes the connection.
 */
class UnusableAnswerError extends Error {
  override readonly name = 'UnusableAnswerError';
}

function connectFailureOf(err: Error): 'refused' | 'unconnected' {
  return 'code' in err && err.code === 'ECONNREFUSED' ? 'refused' : 'unconnected';
}

function classifyAnswer(answer: ServerAnswer): SendOutcome {
  const { status, meta } = answer;
  if (meta.notRun || status === HTTP_MISDIRECTED) {
    const why =
      status === HTTP_MISDIRECTED
        ? 'misdirected'
        : status === HTTP_BAD_REQUEST
          ? 'invalid'
          : 'shed';
    return { kind: 'not-run', why, answer };
  }
  if (!meta.signed) return { kind: 'unknown', why: 'garbled', detail: `unsigned ${status}` };
  if (answer.headers['content-encoding'] !== undefined) {
    return { kind: 'unknown', why: 'garbled', detail: 'encoded body' };
  }
  return { kind: 'answer', answer };
}

/** Dependencies and signals of one send. */
export interface SendOptions {
  readonly codec: HeaderCodec;
  /** Limits the memory of answers that are still arriving. */
  readonly memory: AnswerMemory;
  /** Cancels the request; the connection is closed if the request was already sent. */
  readonly signal: AbortSignal;
  /** Cancels the request unless it was already sent. */
  readonly unsentSignal: AbortSignal;
  /** Returns whether the request may still be sent; asked immediately before it is. */
  readonly maySend: () => boolean;
}

/**
 * Sends a request and buffers the whole answer, so that a truncated answer is never passed on. Only
 * an answer that names the request is believed: any other may be a late or repeated answer to an
 * earlier request on the connection, which is closed then.
 */
export function sendRequest(
  connections: RequestConnections,
  req: OutgoingRequest,
  { codec, memory, signal, unsentSignal, maySend }: SendOptions,
): Promise<SendOutcome> {
  return new Promise((resolve) => {
    let controller: Dispatcher.DispatchController | undefined;
    let head: Omit<ServerAnswer, 'body'> | undefined;
    let body: AnswerBody | undefined;

    const abort = () => {
      if (!controller) {
        finish({ kind: 'not-run', why: 'cancelled' });
        return;
      }
      // The HTTP library reports the abort as a connection error, so the outcome is settled first.
      finish({ kind: 'unknown', why: 'cancelled', detail: 'cancelled' });
      connections.resetWhile(() => {
        controller?.abort(new errors.RequestAbortedError());
      });
    };
    const cancelIfUnsent = () => {
      if (!controller) finish({ kind: 'not-run', why: 'paused' });
    };
    const buffered = memory.begin(() => {
      finish({ kind: 'unknown', why: 'oversized', detail: 'the answer goes on beyond its limit' });
      controller?.abort(new errors.RequestAbortedError());
    });
    let isSettled = false;
    function finish(outcome: SendOutcome): void {
      isSettled = true;
      body?.drop();
      buffered[Symbol.dispose]();
      signal.removeEventListener('abort', abort);
      unsentSignal.removeEventListener('abort', cancelIfUnsent);
      resolve(outcome);
    }

    /** Finishes with an answer that is whole only if its connection ended in order. */
    async function finishAtEnd(answer: ServerAnswer): Promise<void> {
      const isWhole = await connections.confirmEnd();
      if (isWhole) finish(classifyAnswer(answer));
      else finish({ kind: 'unknown', why: 'broken-off', detail: 'reset before the end' });
    }

    if (signal.aborted) {
      finish({ kind: 'not-run', why: 'cancelled' });
      return;
    }
    if (unsentSignal.aborted || !maySend()) {
      finish({ kind: 'not-run', why: 'paused' });
      return;
    }
    signal.addEventListener('abort', abort);
    unsentSignal.addEventListener('abort', cancelIfUnsent);

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart(started) {
        if (!maySend()) cancelIfUnsent();
        controller = started;
        if (isSettled) started.abort(new errors.RequestAbortedError());
      },
      onResponseStart(started, status, headers) {
        if (isInterimStatus(status)) return;
        if (!isFinalStatus(status)) {
          started.abort(new UnusableAnswerError(`the answer has the status ${status}`));
          return;
        }
        const meta = codec.readAnswer(status, headers);
        if (meta.attemptId !== req.attemptId) {
          const named = meta.attemptId === undefined ? 'no request' : 'another request';
          started.abort(new UnusableAnswerError(`the answer names ${named}`));
          return;
        }
        const framed = isFramed(req.method, status, headers);
        head = { status, headers, framed, meta };
        body = createAnswerBody(headers['content-length'], buffered, memory.segments);
      },
      onResponseData(_controller, chunk) {
        body?.add(chunk);
      },
      onResponseEnd() {
        if (!head || !body) {
          finish({ kind: 'unknown', why: 'garbled', detail: 'no head' });
          return;
        }
        const answer = { ...head, body: body.whole() };
        if (answer.framed) finish(classifyAnswer(answer));
        else void finishAtEnd(answer);
      },
      onResponseError(_controller, err) {
        if (!controller) {
          finish({ kind: 'not-run', why: connectFailureOf(err) });
          return;
        }
        if (err instanceof ResponseMemoryError) {
          finish({ kind: 'unknown', why: 'oversized', detail: err.message });
          return;
        }
        const isGarbled =
          err instanceof UnusableAnswerError ||
          err instanceof ResponseFramingError ||
          err instanceof errors.HTTPParserError ||
          err instanceof errors.HeadersOverflowError;
        finish({
          kind: 'unknown',
          why: isGarbled ? 'garbled' : 'broken-off',
          detail: err.message,
        });
      },
    };
    connections.dispatcher.dispatch(
      {
        method: req.method,
        path: req.path,
        headers: [...req.headers],
        body: req.body ?? null,
        idempotent: req.idempotent ?? false,
      },
      handler,
    );
  });
}
