import {
  type ErrorDetails,
  RESULT_CODES,
  type ResultName,
  errorBody,
  httpStatusOf,
  retryAfterOf,
} from '@boragepoint/config';
import type { Context } from 'hono';
import type { ContentfulStatusCode } from 'hono/utils/http-status';
import type { Result } from 'neverthrow';

import type { OperatorError } from './operator-error.js';

const RETRY_AFTER_SECONDS = 1;

/** Sends the error body, status and `Retry-After` of a result code. @internal */
export function sendError(
  c: Context,
  name: ResultName,
  message: string,
  details?: ErrorDetails,
): Response {
  const code = RESULT_CODES[name];
  if (retryAfterOf(code) === 'yes') c.header('retry-after', String(RETRY_AFTER_SECONDS));
  const status = httpStatusOf(code) as ContentfulStatusCode;
  return c.json(errorBody(name, message, details), status);
}

/** Sends the outcome of an operation. @internal */
export function sendOutcome(c: Context, outcome: Result<object, OperatorError>): Response {
  return outcome.match(
    (value) => c.json(value),
    (error) => sendError(c, error.resultName, error.message, error.details),
  );
}
