import type { ClosedConnection } from '@boragepoint/platform';

import type { RouterLog } from './router-log.js';

/** Logs the end of a connection that the router closed, if the caller may have lost something. */
export function logClosedConnection(
  closed: ClosedConnection,
  log: Pick<RouterLog, 'info' | 'warn'>,
): void {
  const { unsentBytes, lateBytes, requestsNotTaken, endedBy } = closed;
  const fields = { ...closed, forMs: Math.round(closed.forMs) };
  const isCut = endedBy !== 'peer' && (unsentBytes > 0 || lateBytes > 0);
  if (unsentBytes > 0 || isCut) log.warn('connection cut', fields);
  else if (lateBytes > 0 || requestsNotTaken > 0) log.info('connection closed', fields);
}
