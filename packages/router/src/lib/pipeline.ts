import type { Socket } from 'node:net';

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
  /** Set if that answer was written before the body of its request had been read. */
  isBodyRefused: boolean;
  add(): PipelineEntry;
  /**
   * Functions that are called when the connection ends; a request that finishes removes its own.
   */
  readonly endListeners: Set<() => void>;
}

interface AnswerState {
  isReady: boolean;
}

/** Creates the pipeline of a connection. */
export function createPipeline(socket: Socket): Pipeline {
  const endListeners = new Set<() => void>();
  /** States of the requests whose answers are not written yet, in order. */
  const states: AnswerState[] = [];
  /** Resolves when the answer to the last request is written. */
  let lastWritten = Promise.resolve();
  const finishAll = () => {
    for (const finish of endListeners) finish();
  };
  // Node emits `close` only on the response whose turn it is, and only once both directions are
  // closed.
  socket.once('end', finishAll);
  socket.once('close', finishAll);

  return {
    isBusy: () => states.length > 0,
    isClosing: false,
    isBodyRefused: false,
    endListeners,
    add() {
      const state: AnswerState = { isReady: false };
      const turn = lastWritten;
      let resolveWritten: (() => void) | undefined;
      lastWritten = new Promise((resolve) => {
        resolveWritten = resolve;
      });
      states.push(state);
      return {
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
    },
  };
}
