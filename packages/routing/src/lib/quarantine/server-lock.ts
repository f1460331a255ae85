import { untilDeadline, systemClock } from '../ledger/ledger-clock.js';

/** Shared/exclusive lock for the requests of one router at one backend server. */
export interface ServerLock {
  /**
   * Waits for the lock until the deadline, which is in milliseconds of the monotonic clock.
   * Resolves to false if the lock was not granted.
   */
  acquire(exclusive: boolean, deadlineAt: number): Promise<boolean>;
  release(exclusive: boolean): void;
  isIdle(): boolean;
}

interface Waiter {
  readonly exclusive: boolean;
  readonly grant: (granted: true) => void;
}

/** Creates a lock. It is granted in the order of requests. @internal */
export function createServerLock(): ServerLock {
  let sharedCount = 0;
  let isHeldExclusively = false;
  let waiters: Waiter[] = [];

  function canAcquire(exclusive: boolean): boolean {
    return !isHeldExclusively && (!exclusive || sharedCount === 0);
  }

  function markAcquired(exclusive: boolean): void {
    if (exclusive) isHeldExclusively = true;
    else sharedCount += 1;
  }

  function grantWaiters(): void {
    for (
      let next = waiters[0];
      next !== undefined && canAcquire(next.exclusive);
      next = waiters[0]
    ) {
      waiters.shift();
      markAcquired(next.exclusive);
      next.grant(true);
    }
  }

  return {
    async acquire(exclusive, deadlineAt) {
      if (waiters.length === 0 && canAcquire(exclusive)) {
        markAcquired(exclusive);
        return true;
      }
      let waiter: Waiter | undefined;
      const granting = new Promise<true>((grant) => {
        waiter = { exclusive, grant };
        waiters.push(waiter);
      });
      const granted = await untilDeadline(granting, deadlineAt, systemClock);
      if (granted === true) return true;
      const wasWaiting = waiters.some((it) => it === waiter);
      waiters = waiters.filter((it) => it !== waiter);
      grantWaiters();
      return !wasWaiting;
    },
    release(exclusive) {
      if (exclusive) isHeldExclusively = false;
      else sharedCount -= 1;
      grantWaiters();
    },
    isIdle: () => sharedCount === 0 && !isHeldExclusively && waiters.length === 0,
  };
}
