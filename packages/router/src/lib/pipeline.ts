import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { CloseReason } from '@boragepoint/platform';

/** One accepted request in the pipeline of its connection. */
export interface PipelineEntry {
  /** Resolves when all earlier answers are written, or their requests ended without one. */
  readonly turn: Promise<void>;
  /** Whether no later request was accepted. */
  isLast(): boolean;
  /** Whether an answer to a later request is ready and waits for this one. */
  blocksReadyAnswers(): boolean;
  /** Marks the answer as ready; it may still have to wait for its turn. */
  markReady(): void;
  /** Removes the request after its answer is written, or if it gets none. */
  remove(): void;
}

/** The accepted requests of one connection, in the order of their answers. */
export interface Pipeline {
  /** Whether answers to accepted requests are still to be written. */
  isBusy(): boolean;
  /**
   * Set once an answer that closes the connection was written: later requests count as not read.
   */
  isClosing: boolean;
  /** Why that answer closes the connection. */
  closeReason: CloseReason;
  /** The latest accepted request. */
  latest: { readonly req: IncomingMessage; readonly entry: PipelineEntry } | undefined;
  /** Whether the caller left before it had been answered. */
  isAbandoned: boolean;
  /** Called once, when all accepted requests have ended. */
  onIdle: (() => void) | undefined;
  add(req: IncomingMessage): PipelineEntry;
  /**
   * Functions that are called when the connection ends, one for each open request; a request that
   * finishes removes its own.
   */
  readonly endListeners: Set<() => void>;
}

interface AnswerState {
  isReady: boolean;
}

/**
 * Creates the pipeline of a connection; `onEnd` is called when the connection ends, before the open
 * requests end.
 */
export function createPipeline(socket: Socket, onEnd: () => void): Pipeline {
  const endListeners = new Set<() => void>();
  /** States of the requests whose answers are not written yet, in order. */
  const states: AnswerState[] = [];
  /** Resolves when the answer to the last request is written. */
  let lastWritten = Promise.resolve();
  const finishAll = () => {
    onEnd();
    pipeline.isAbandoned ||= endListeners.size > 0;
    for (const finish of endListeners) finish();
  };
  // Node emits `close` only on the response whose turn it is, and only once both directions are
  // closed.
  socket.once('end', finishAll);
  socket.once('close', finishAll);

  const pipeline: Pipeline = {
    isBusy: () => states.length > 0,
    isClosing: false,
    closeReason: 'last-answer',
    latest: undefined,
    isAbandoned: false,
    onIdle: undefined,
    endListeners,
    add(req) {
      const state: AnswerState = { isReady: false };
      const turn = lastWritten;
      let resolveWritten: (() => void) | undefined;
      lastWritten = new Promise((resolve) => {
        resolveWritten = resolve;
      });
      states.push(state);
      const entry: PipelineEntry = {
        turn,
        isLast: () => states.at(-1) === state,
        blocksReadyAnswers: () => states.slice(states.indexOf(state) + 1).some((it) => it.isReady),
        markReady() {
          state.isReady = true;
        },
        remove() {
          states.splice(states.indexOf(state), 1);
          resolveWritten?.();
        },
      };
      pipeline.latest = { req, entry };
      return entry;
    },
  };
  return pipeline;
}
