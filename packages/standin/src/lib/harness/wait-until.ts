import { monotonicMs, sleep } from '../clock.js';

const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 10_000;

/** Thrown when a condition was not met within its timeout. */
export class WaitTimeoutError extends Error {
  override readonly name = 'WaitTimeoutError';
}

/**
 * Polls a condition until it returns a value other than `undefined`, and returns that value.
 *
 * @param description Names the condition in the error message.
 * @throws WaitTimeoutError when `timeoutMs` has passed.
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
