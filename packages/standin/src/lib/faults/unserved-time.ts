import { monotonicMs } from '../clock.js';
import { waitUntil } from '../harness/wait-until.js';
import type { Probe } from '../load/probe.js';
import type { Figure } from './fault-case.js';

/** Bound of the time for which a key is unserved after a fault. */
export const MAX_UNSERVED_MS = 1_000;
const RECOVERY_TIMEOUT_MS = 20_000;
const P99 = 0.99;

/** Waits until each key has had a successful answer after a monotonic time in milliseconds. */
export async function waitUntilServed(probe: Probe, after: number): Promise<void> {
  const served = () => (probe.unservedSince(after).length === 0 ? true : undefined);
  await waitUntil('every key served', served, RECOVERY_TIMEOUT_MS);
}

/** Waits until `keys`, the keys still answered by the affected servers, returns none. */
export async function waitUntilMoved(keys: () => readonly string[]): Promise<void> {
  const moved = () => (keys().length === 0 ? true : undefined);
  await waitUntil('keys moved', moved, RECOVERY_TIMEOUT_MS);
}

/**
 * Returns the p99 and maximum of the keys' unserved times from a monotonic time until now.
 *
 * @param from Monotonic time in milliseconds.
 * @param atMost Bound of the p99, in milliseconds.
 */
export function unservedFigures(
  probe: Probe,
  keys: readonly string[],
  from: number,
  atMost = MAX_UNSERVED_MS,
): Figure[] {
  const to = monotonicMs();
  const gaps = keys.map((key) => probe.longestGapMs(key, from, to)).sort((a, b) => a - b);
  const p99 = gaps[Math.ceil(gaps.length * P99) - 1] ?? 0;
  return [
    { name: 'keys', value: keys.length, atLeast: 1 },
    { name: 'unserved p99 ms', value: Math.round(p99), atMost },
    { name: 'unserved max ms', value: Math.round(gaps.at(-1) ?? 0) },
  ];
}
