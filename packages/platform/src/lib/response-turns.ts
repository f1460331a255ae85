import { createParseTurns } from './parse-turns.js';

/** Spreads the parsing of responses over turns of the event loop. */
export interface ResponseTurns {
  /** Adds a connection; `callback` makes its parser read again. */
  join(callback: () => void): ConnectionTurn;
}

/** One connection's part in the turns. */
export interface ConnectionTurn {
  /** Notes the parts beyond those of ordinary responses in the bytes that were parsed last. */
  note(excessParts: number): void;
  /** Returns whether the connection may go on in this turn; it is called back later otherwise. */
  mayGoOn(): boolean;
}

/**
 * Creates the turns that connections to backend servers share. Connections whose last bytes had
 * many small parts wait apart from the others, so that an ordinary response doesn't wait for them.
 */
export function createResponseTurns(): ResponseTurns {
  const ordinary = createParseTurns();
  const busy = createParseTurns();
  return {
    join(callback) {
      let turns = ordinary;
      return {
        note(excessParts) {
          turns.note(excessParts);
          turns = excessParts > 0 ? busy : ordinary;
        },
        mayGoOn() {
          if (turns.hasRoom()) return true;
          turns.wait(callback);
          return false;
        },
      };
    },
  };
}
