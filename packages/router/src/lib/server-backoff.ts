import { setMaxListeners } from 'node:events';

/**
 * Longest back-off, in milliseconds; after it, one trial request tests a server that asked for
 * more.
 */
export const MAX_BACKOFF_MS = 60_000;
/** Back-off for other requests while a trial request runs, in milliseconds. */
const TRIAL_BACKOFF_MS = 2_000;
/** Share of the remaining back-off over which `Retry-After` times are spread. */
const SPREAD_SHARE = 0.25;
/** Least time over which `Retry-After` times are spread, in milliseconds. */
const MIN_SPREAD_MS = 400;

/** State of a server's back-off. */
export interface BackoffState {
  /** End of the back-off that it asked for, in milliseconds of the monotonic clock. */
  backoffUntil: number;
  /** It asked for more than the longest back-off, so the next request is a trial. */
  needsTrial: boolean;
  /** Cancels the requests that wait for a connection to it. */
  unsentAbort: AbortController;
}

/** Creates the controller that cancels requests which wait for a connection. */
export function createUnsentAbort(): AbortController {
  const controller = new AbortController();
  // Each waiting request adds a listener.
  setMaxListeners(0, controller.signal);
  return controller;
}

/**
 * Cancels the requests that wait for a connection to a server, so that they can be sent to other
 * servers.
 */
export function cancelUnsent(server: Pick<BackoffState, 'unsentAbort'>): void {
  server.unsentAbort.abort();
  server.unsentAbort = createUnsentAbort();
}

/**
 * Starts the back-off that a server asks for. Requests that wait for a connection to it are
 * cancelled, so that they can be sent to other servers.
 */
export function startBackoff(server: BackoffState, backoffMs: number, now: number): void {
  const until = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  server.backoffUntil = Math.max(server.backoffUntil, until);
  server.needsTrial = backoffMs > MAX_BACKOFF_MS;
  cancelUnsent(server);
}

/** Notes that a request is sent; a trial request starts another back-off for the others. */
export function noteSent(server: BackoffState, now: number): void {
  if (server.needsTrial) server.backoffUntil = now + TRIAL_BACKOFF_MS;
}

/** Notes that the server accepted a request; this ends a trial and its back-off. */
export function noteAccepted(server: BackoffState): void {
  if (!server.needsTrial) return;
  server.needsTrial = false;
  server.backoffUntil = -Infinity;
}

export function isBackingOff(server: BackoffState, now: number): boolean {
  return now < server.backoffUntil;
}

/**
 * Returns a `Retry-After` time after the earliest end of the back-offs, in milliseconds. It is
 * spread at random so that callers don't all retry at once; `random` is uniform in [0, 1).
 */
export function retryAfterBackoffMs(
  servers: readonly Pick<BackoffState, 'backoffUntil'>[],
  now: number,
  random: () => number,
): number {
  const waitMs = Math.max(0, Math.min(...servers.map((it) => it.backoffUntil)) - now);
  return waitMs + random() * Math.max(MIN_SPREAD_MS, waitMs * SPREAD_SHARE);
}
