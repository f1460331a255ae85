import type { ClientBudget } from './client-budget.js';

/** Lines of a head that count as part of its request. */
const FREE_LINES = 64;
/** What the HTTP library holds for a further line of a head or of trailers, in bytes. */
const LINE_BYTES = 64;

/** Accounts for the lines of heads and of trailers beyond those of an ordinary request. */
export interface HeadMemory<T extends object> {
  /**
   * Notes lines that the parser is about to get of a connection; returns false if there is no room
   * for them.
   */
  note(connection: T, lines: number): boolean;
  /** Returns the bytes that are held for a head whose request has been parsed; see {@link free}. */
  take(connection: T): number;
  /** Gives back the bytes of a request that has ended. */
  free(bytes: number): void;
  /** Gives back what is held for a connection that has ended, besides its requests. */
  end(connection: T): void;
}

const bytesOf = (lines: number) => Math.max(0, lines - FREE_LINES) * LINE_BYTES;

/** Creates an account that takes from the budget for requests. */
export function createHeadMemory<T extends object>(
  budget: Pick<ClientBudget, 'add' | 'hasRoom'>,
): HeadMemory<T> {
  const unfinished = new WeakMap<T, number>();

  function take(connection: T): number {
    const bytes = bytesOf(unfinished.get(connection) ?? 0);
    unfinished.delete(connection);
    return bytes;
  }

  function free(bytes: number): void {
    if (bytes > 0) budget.add('requests', -bytes);
  }

  return {
    note(connection, lines) {
      const before = unfinished.get(connection) ?? 0;
      const moreBytes = bytesOf(before + lines) - bytesOf(before);
      unfinished.set(connection, before + lines);
      if (moreBytes === 0) return true;
      budget.add('requests', moreBytes);
      return budget.hasRoom('requests', 0);
    },
    take,
    free,
    end(connection) {
      free(take(connection));
    },
  };
}
