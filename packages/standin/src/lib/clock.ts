const NANOSECONDS_PER_MICROSECOND = 1_000n;
const MICROSECONDS_PER_MS = 1_000;

/** Monotonic time of the host in milliseconds; every process on the host reads the same clock. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / NANOSECONDS_PER_MICROSECOND) / MICROSECONDS_PER_MS;
}

/** Resolves after a time in milliseconds, or at once when the signal aborts. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  if (ms <= 0 || signal?.aborted === true) return;
  await new Promise<void>((resolve) => {
    const end = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener('abort', end);
  });
}
