import { RESULT_CODES, type ResultName, httpStatusOf } from '@boragepoint/config';

import type { ServerAnswer } from './send-request.js';

/** The answer to a caller: a backend server's, unchanged, or one of the router's own. */
export type CallerAnswer =
  | { readonly kind: 'server'; readonly answer: ServerAnswer; readonly server: string }
  | OwnAnswer
  /** The caller has disconnected. */
  | { readonly kind: 'none' };

/** An answer that the router itself generates. */
export interface OwnAnswer {
  readonly kind: 'own';
  readonly status: number;
  readonly result: ResultName;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Creates the router's own answer for a result code. */
export function ownAnswer(result: ResultName, reason: string, retryAfterMs?: number): OwnAnswer {
  const status = httpStatusOf(RESULT_CODES[result]);
  return {
    kind: 'own',
    status,
    result,
    reason,
    ...(retryAfterMs !== undefined && { retryAfterMs }),
  };
}
