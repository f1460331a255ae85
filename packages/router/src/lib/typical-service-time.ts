import { INITIAL_SERVICE_MS, type ServerLoad } from './server-load.js';

/** Time for which a computed median is used, in milliseconds. */
const MAX_AGE_MS = 500;

/**
 * Returns a function for the median service time of the servers that were measured, in milliseconds.
 * It is computed again from time to time only, as each estimate of a server uses it.
 */
export function createTypicalServiceTime(
  loads: () => readonly Pick<ServerLoad, 'ownServiceMs'>[],
  now: () => number,
): () => number {
  let medianMs = INITIAL_SERVICE_MS;
  let computedAt = -Infinity;
  return () => {
    if (now() < computedAt + MAX_AGE_MS) return medianMs;
    computedAt = now();
    const times = loads()
      .flatMap((it) => it.ownServiceMs() ?? [])
      .sort((a, b) => a - b);
    medianMs = times[times.length >> 1] ?? INITIAL_SERVICE_MS;
    return medianMs;
  };
}
