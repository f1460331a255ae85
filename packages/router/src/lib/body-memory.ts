import type { PartsRoom } from '@boragepoint/platform';

import { type ClientBudget, createClientBudget } from './client-budget.js';

/** Size up to which a body does not compete with larger ones, in bytes. */
const SMALL_BODY_BYTES = 64 * 1_024;

/** The room that one body takes; disposing of it frees the room. */
export type BodyRoom = PartsRoom & Disposable;

/** Limits the memory that the bodies of all requests take together. */
export interface BodyMemory {
  begin(): BodyRoom;
}

/**
 * Creates the accounting. A body that would exceed the budget is turned away while it can still be
 * promised not to run; a large one alone always has room.
 */
export function createBodyMemory(budget: ClientBudget = createClientBudget()): BodyMemory {
  function begin(): BodyRoom {
    let ownBytes = 0;
    const kind = () => (ownBytes > SMALL_BODY_BYTES ? 'bodies' : 'smallBodies');

    function mayTake(bytes: number): boolean {
      if (bytes <= SMALL_BODY_BYTES) return budget.hasRoomOfKind('smallBodies', bytes - ownBytes);
      const ownLarge = kind() === 'bodies' ? ownBytes : 0;
      const isAlone = budget.held('bodies') === ownLarge;
      return isAlone || budget.hasRoom('bodies', bytes - ownLarge);
    }

    function setOwn(bytes: number): void {
      budget.add(kind(), -ownBytes);
      ownBytes = bytes;
      budget.add(kind(), ownBytes);
    }

    return {
      grow(bytes) {
        if (bytes <= ownBytes) return true;
        const isTaken = mayTake(bytes);
        if (isTaken) setOwn(bytes);
        return isTaken;
      },
      noteReplaced(bytes) {
        budget.noteGarbage(bytes);
      },
      [Symbol.dispose]() {
        if (ownBytes > SMALL_BODY_BYTES) budget.noteGarbage(ownBytes);
        setOwn(0);
      },
    };
  }

  return { begin };
}
