import type { Socket } from 'node:net';

import type { ConnectionCloser } from '@boragepoint/platform';

import { type OwnAnswer, ownAnswer } from './caller-answer.js';
import type { Pipeline, PipelineEntry } from './pipeline.js';

/** What refusing a malformed request needs of its connection. */
export interface MalformedContext {
  readonly closer: ConnectionCloser;
  readonly pipeline: Pipeline;
  /** True if requests before the malformed one are not accepted yet, and never will be now. */
  readonly hasWaiting: boolean;
  /** Answers a request that has no answer yet. */
  readonly answerEarly: (entry: PipelineEntry, answer: OwnAnswer) => void;
}

/** Composes the answer to a malformed, late or oversized request head. */
function refusalOf(err: NodeJS.ErrnoException): string {
  const isOverflow = err.code === 'HPE_HEADER_OVERFLOW';
  const isLate = err.code === 'ERR_HTTP_REQUEST_TIMEOUT';
  const status = isOverflow ? 431 : isLate ? 408 : 400;
  return `HTTP/1.1 ${status} Error\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;
}

/**
 * Refuses a malformed, late or oversized request behind the answers to those before it, and closes
 * the connection. If the body of the latest accepted request is malformed, that request gets the
 * refusal.
 */
export function refuseMalformed(
  err: NodeJS.ErrnoException,
  socket: Socket,
  { closer, pipeline, hasWaiting, answerEarly }: MalformedContext,
): void {
  if (closer.isClosing(socket) || pipeline.isClosing) return;
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  pipeline.isClosing = true;
  pipeline.closeReason = 'malformed-request';
  closer.stopReading(socket);
  const { latest } = pipeline;
  const isBody = latest?.req.complete === false;
  if (isBody) answerEarly(latest.entry, ownAnswer('badRequest', 'the body is malformed'));
  const refuse = () => {
    // The caller would take it for the answer to a request that waits.
    const isMisplaced = isBody || hasWaiting || pipeline.isAbandoned;
    if (!isMisplaced && socket.writable) socket.write(refusalOf(err));
    closer.close(socket, 'malformed-request');
  };
  if (pipeline.endListeners.size === 0) refuse();
  else pipeline.onIdle = refuse;
}
