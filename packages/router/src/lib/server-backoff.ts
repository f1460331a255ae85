import { setMaxListeners } from 'node:events';

import type { PooledServer } from './server-pool.js';

/** Longest pause that is granted at once; a server that asks for more is tried again then, in milliseconds. */
export const MAX_BACKOFF_MS = 60_000;
/** While one request tries a server, others keep away from it for this time, in milliseconds. */
const TRIAL_BACKOFF_MS = 2_000;
/** Callers come back spread over this share of the time until the end of a pause, or over a least time in milliseconds. */
const SPREAD_SHARE = 0.25;
const MIN_SPREAD_MS = 400;

type BackoffState = Pick<PooledServer, 'backoffUntil' | 'needsTrial' | 'unsentAbort'>;

/** A signal that calls off requests which wait for a connection. */
export function createUnsentAbort(): AbortController {
  const controller = new AbortController();
  // Each request that waits listens to it.
  setMaxListeners(0, controller.signal);
  return controller;
}

/** The server asks for a pause: nothing more is sent to it, and what waits for a connection goes elsewhere. */
export function startBackoff(server: BackoffState, backoffMs: number, now: number): void {
  const until = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  server.backoffUntil = Math.max(server.backoffUntil, until);
  server.needsTrial = backoffMs > MAX_BACKOFF_MS;
  server.unsentAbort.abort();
  server.unsentAbort = createUnsentAbort();
}

/** A request goes to the server. */
export function noteSent(server: BackoffState, now: number): void {
  if (server.needsTrial) server.backoffUntil = now + TRIAL_BACKOFF_MS;
}

/** The server took a request. */
export function noteAccepted(server: BackoffState): void {
  if (!server.needsTrial) return;
  server.needsTrial = false;
  server.backoffUntil = -Infinity;
}

export function isBackingOff(server: BackoffState, now: number): boolean {
  return now < server.backoffUntil;
}

/** Time after which a caller may come back, so that not all do so at one moment; `random` is uniform in [0, 1). */
export function retryAfterBackoffMs(
  servers: readonly Pick<PooledServer, 'backoffUntil'>[],
  now: number,
  random: () => number,
): number {
  const waitMs = Math.max(0, Math.min(...servers.map((it) => it.backoffUntil)) - now);
  return waitMs + random() * Math.max(MIN_SPREAD_MS, waitMs * SPREAD_SHARE);
}
