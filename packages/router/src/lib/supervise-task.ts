import { setTimeout as sleep } from 'node:timers/promises';

/** Time after which a task that failed runs again, in milliseconds. */
const RESTART_DELAY_MS = 1_000;

/**
 * Runs a task that a router needs until it is stopped. If the task fails, `onError` is called and
 * the task runs again after a delay.
 */
export async function superviseTask(
  task: () => Promise<void>,
  signal: AbortSignal,
  onError: (err: unknown) => void,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await task();
      return;
    } catch (err) {
      onError(err);
    }
    await sleep(RESTART_DELAY_MS, undefined, { signal }).catch(() => undefined);
  }
}
