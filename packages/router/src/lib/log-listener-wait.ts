import type { ListenerWait } from './caller-listener.js';
import type { RouterLog } from './router-log.js';

/** Shortest wait that is logged, in milliseconds. */
const MIN_LOGGED_WAIT_MS = 500;

/** Logs a long wait of input or of an answer in the callers' listener. */
export function logListenerWait(
  { what, waitedMs, attemptId }: ListenerWait,
  log: Pick<RouterLog, 'info'>,
): void {
  if (waitedMs < MIN_LOGGED_WAIT_MS) return;
  log.info('waited in the listener', { what, waitedMs: Math.round(waitedMs), request: attemptId });
}
