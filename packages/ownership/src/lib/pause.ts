import { createWakeSignal } from '@boragepoint/platform';

/** Current time of the monotonic clock, in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/** Waits, and returns early when the signal aborts. */
export function pause(ms: number, signal: AbortSignal): Promise<void> {
  return createWakeSignal().wait(ms, signal);
}
