import { monotonicMs } from '../clock.js';
import { waitUntil } from '../harness/wait-until.js';
import type { Probe } from '../load/probe.js';
import type { Figure } from './fault-case.js';

/** A key is served again within this time of a loss. */
export const MAX_UNSERVED_MS = 1_000;
const RECOVERY_TIMEOUT_MS = 20_000;
const P99 = 0.99;

/** Waits until each key had a good answer after a monotonic time. */
export async function waitUntilServed(probe: Probe, after: number): Promise<void> {
  const served = () => (probe.unservedSince(after).length === 0 ? true : undefined);
  await waitUntil('every key served', served, RECOVERY_TIMEOUT_MS);
}

/** Waits until none of the servers is the last to have answered for a key. */
export async function waitUntilMoved(keys: () => readonly string[]): Promise<void> {
  const moved = () => (keys().length === 0 ? true : undefined);
  await waitUntil('keys moved', moved, RECOVERY_TIMEOUT_MS);
}

/**
 * Returns the unserved time of keys from a monotonic time until now, as p99 and maximum.
 *
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
