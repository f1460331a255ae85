/** Clocks that the ledger reads. */
export interface LedgerClock {
  /** Monotonic time in milliseconds, the time base of deadlines. */
  now(): number;
  /** Time since the Unix epoch in milliseconds, the time base of expiry. */
  wallNow(): number;
}

/** The clocks of this process. */
export const systemClock: LedgerClock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
};

/**
 * Waits for a promise until a deadline; resolves to `undefined` if the deadline passes first.
 * @internal
 */
export async function untilDeadline<T>(
  promise: Promise<T>,
  deadlineAt: number,
  clock: LedgerClock,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    const leftMs = Math.max(0, deadlineAt - clock.now());
    timer = setTimeout(() => {
      resolve(undefined);
    }, leftMs);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}
