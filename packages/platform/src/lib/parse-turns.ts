/** Chunks of bodies that the parser gets in one turn of the event loop; each takes microseconds. */
const MAX_CHUNKS_PER_TURN = 512;

/** Spreads the parsing of chunked bodies over turns of the event loop, so that others get theirs. */
export interface ParseTurns {
  /** Notes chunks that the parser has had in this turn. */
  note(chunks: number): void;
  /** Returns whether the parser may get more chunks in this turn. */
  hasRoom(): boolean;
  /** Calls back in a later turn with room, once for each function and in the order of the calls. */
  wait(goOn: () => void): void;
}

/** Creates the turns that the connections of a listener share. */
export function createParseTurns(maxChunks = MAX_CHUNKS_PER_TURN): ParseTurns {
  const waiting = new Set<() => void>();
  let chunksInTurn = 0;
  let isScheduled = false;
  const hasRoom = () => chunksInTurn < maxChunks;

  function startTurn(): void {
    isScheduled = false;
    chunksInTurn = 0;
    try {
      for (const goOn of [...waiting]) {
        if (!hasRoom()) break;
        waiting.delete(goOn);
        goOn();
      }
    } finally {
      // Also after an error of one connection, so that the others go on.
      if (waiting.size > 0) schedule();
    }
  }

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(startTurn);
  }

  return {
    note(chunks) {
      if (chunks === 0) return;
      chunksInTurn += chunks;
      schedule();
    },
    hasRoom,
    wait(goOn) {
      waiting.add(goOn);
      schedule();
    },
  };
}
