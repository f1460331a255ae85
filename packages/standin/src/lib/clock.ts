const NANOSECONDS_PER_MICROSECOND = 1_000n;
const MICROSECONDS_PER_MS = 1_000;

/** Returns the host's monotonic time in milliseconds; all processes of the host share it. */
export function monotonicMs(): number {
  return Number(process.hrtime.bigint() / NANOSECONDS_PER_MICROSECOND) / MICROSECONDS_PER_MS;
}

/** Resolves after a time in milliseconds, or as soon as the signal aborts. */
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
