import { untilDeadline, systemClock } from '../ledger/ledger-clock.js';

/** Lets requests of one router run side by side at one backend server, or one alone. */
export interface ServerGate {
  /** Waits for a turn until the deadline; returns whether it came. */
  enter(alone: boolean, deadlineAt: number): Promise<boolean>;
  leave(alone: boolean): void;
  isIdle(): boolean;
}

interface Waiter {
  readonly alone: boolean;
  readonly admit: (admitted: true) => void;
}

/** Creates a gate. Turns are given in the order of arrival. @internal */
export function createServerGate(): ServerGate {
  let beside = 0;
  let hasAlone = false;
  let waiters: Waiter[] = [];

  function mayEnter(alone: boolean): boolean {
    return !hasAlone && (!alone || beside === 0);
  }

  function take(alone: boolean): void {
    if (alone) hasAlone = true;
    else beside += 1;
  }

  function admitWaiters(): void {
    for (let next = waiters[0]; next !== undefined && mayEnter(next.alone); next = waiters[0]) {
      waiters.shift();
      take(next.alone);
      next.admit(true);
    }
  }

  return {
    async enter(alone, deadlineAt) {
      if (waiters.length === 0 && mayEnter(alone)) {
        take(alone);
        return true;
      }
      let waiter: Waiter | undefined;
      const turn = new Promise<true>((admit) => {
        waiter = { alone, admit };
        waiters.push(waiter);
      });
      const admitted = await untilDeadline(turn, deadlineAt, systemClock);
      if (admitted === true) return true;
      const wasWaiting = waiters.some((it) => it === waiter);
      waiters = waiters.filter((it) => it !== waiter);
      admitWaiters();
      return !wasWaiting;
    },
    leave(alone) {
      if (alone) hasAlone = false;
      else beside -= 1;
      admitWaiters();
    },
    isIdle: () => beside === 0 && !hasAlone && waiters.length === 0,
  };
}
