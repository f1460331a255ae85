import { monotonicMs, sleep } from '../clock.js';

const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 10_000;

/** A condition that did not come true in time. */
export class WaitTimeoutError extends Error {
  override readonly name = 'WaitTimeoutError';
}

/**
 * Waits until a condition returns a value other than `undefined` and returns that value.
 *
 * @param description Names the condition in the error.
 * @throws WaitTimeoutError when the time in milliseconds is over.
 */
export async function waitUntil<T>(
  description: string,
  condition: () => Promise<T | undefined> | T | undefined,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<T> {
  const end = monotonicMs() + timeoutMs;
  for (;;) {
    const value = await condition();
    if (value !== undefined) return value;
    if (monotonicMs() > end)
      throw new WaitTimeoutError(`${description}: not within ${timeoutMs} ms`);
    await sleep(POLL_INTERVAL_MS);
  }
}
