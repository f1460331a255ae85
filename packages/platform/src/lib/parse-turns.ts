/** Chunks or lines that parsers get in one turn of the event loop; each takes microseconds. */
const MAX_PARTS_PER_TURN = 512;

/** Spreads the parsing of many small parts over turns of the event loop, so that others get theirs. */
export interface ParseTurns {
  /** Notes parts that a parser has had in this turn. */
  note(parts: number): void;
  /** Returns whether parsers may get more parts in this turn. */
  hasRoom(): boolean;
  /** Calls back in a later turn with room, once for each function and in the order of the calls. */
  wait(callback: () => void): void;
}

/** Creates the turns that some connections share. */
export function createParseTurns(maxParts = MAX_PARTS_PER_TURN): ParseTurns {
  const waiting = new Set<() => void>();
  let partsInTurn = 0;
  let isScheduled = false;
  const hasRoom = () => partsInTurn < maxParts;

  function startTurn(): void {
    isScheduled = false;
    partsInTurn = 0;
    try {
      for (const callback of [...waiting]) {
        if (!hasRoom()) break;
        waiting.delete(callback);
        callback();
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
    note(parts) {
      if (parts === 0) return;
      partsInTurn += parts;
      schedule();
    },
    hasRoom,
    wait(callback) {
      waiting.add(callback);
      schedule();
    },
  };
}
