import type { Socket } from 'node:net';

/** A taken request's place among the answers of its connection. */
export interface PipelineEntry {
  /** Resolves when all answers before this one are written, or the connection has ended. */
  readonly turn: Promise<void>;
  /** Whether no request behind this one was taken. */
  isLast(): boolean;
  /** Whether the answer to a later request is ready and waits for this one. */
  blocksReadyAnswers(): boolean;
  /** The answer is ready; it may have to wait for its turn. */
  markReady(): void;
  /** The answer is written, or there is none. */
  remove(): void;
}

/** Requests of one connection that were taken, in the order of their answers. */
export interface Pipeline {
  /** Whether requests were taken whose answers are not written yet. */
  isBusy(): boolean;
  /** An answer that closes the connection was written: what comes behind it counts as not read. */
  isClosing: boolean;
  add(): PipelineEntry;
  /** Calls `finish` when the connection ends, unless it is forgotten before. */
  readonly unfinished: Set<() => void>;
}

interface AnswerState {
  isReady: boolean;
}

/** Creates the pipeline of a connection. */
export function createPipeline(socket: Socket): Pipeline {
  const unfinished = new Set<() => void>();
  /** Requests whose answers are not written yet, in order. */
  const states: AnswerState[] = [];
  /** Resolves when the answer to the last one is written. */
  let lastWritten = Promise.resolve();
  const finishAll = () => {
    for (const finish of unfinished) finish();
  };
  // Only the answer whose turn it is hears of the end by itself, and only once the connection is closed both ways.
  socket.once('end', finishAll);
  socket.once('close', finishAll);

  return {
    isBusy: () => states.length > 0,
    isClosing: false,
    unfinished,
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
