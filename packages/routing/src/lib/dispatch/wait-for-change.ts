import type { AssignmentMap } from '@boragepoint/ownership';
import { createWakeSignal } from '@boragepoint/platform';

/** Waits until the assignment map changes, `ms` milliseconds have passed or the signal aborts. */
export async function waitForChange(
  map: AssignmentMap,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  const wakeSignal = createWakeSignal();
  const subscription = map.onChange(() => {
    wakeSignal.wake();
  });
  await wakeSignal.wait(ms, signal);
  subscription[Symbol.dispose]();
}
