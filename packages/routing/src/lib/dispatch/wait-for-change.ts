import type { AssignmentMap } from '@boragepoint/ownership';
import { createBell } from '@boragepoint/platform';

/** Waits until rows change, the time is over or the signal aborts. */
export async function waitForChange(
  map: AssignmentMap,
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  const wakeSignal = createBell();
  const subscription = map.onChange(() => {
    wakeSignal.ring();
  });
  await wakeSignal.wait(ms, signal);
  subscription[Symbol.dispose]();
}
