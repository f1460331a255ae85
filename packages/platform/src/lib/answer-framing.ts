import type { HeaderValues } from './fleet-platform.js';

const MIN_INTERIM_STATUS = 100;
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;

/** Whether a status is one of an answer that precedes the final one. */
export const isInterimStatus = (status: number) =>
  status >= MIN_INTERIM_STATUS && status < MIN_FINAL_STATUS;

/**
 * Whether a status is one of a final answer. Parsers accept any three digits, but HTTP has no other
 * statuses than these.
 */
export const isFinalStatus = (status: number) => status >= MIN_FINAL_STATUS && status <= MAX_STATUS;

/** Whether answers with a status have no body, whatever their headers say. */
export const hasNoBody = (status: number) =>
  status === HTTP_NO_CONTENT || status === HTTP_NOT_MODIFIED;

/**
 * Whether headers state where the body ends. With a transfer coding, only chunks as the last one
 * do, whatever length is stated.
 */
function statesEnd(headers: HeaderValues): boolean {
  const codings = headers['transfer-encoding'];
  if (codings === undefined) return headers['content-length'] !== undefined;
  return /(^|,)\s*chunked\s*$/i.test([codings].flat().join(','));
}

/**
 * Whether an answer to a request with a method tells where it ends. Any other ends with its
 * connection, and is whole only if that ended in order.
 */
export function isFramed(method: string, status: number, headers: HeaderValues): boolean {
  return method === 'HEAD' || hasNoBody(status) || statesEnd(headers);
}
