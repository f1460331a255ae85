import type { ErrorDetails, ResultName } from '@boragepoint/config';

/** Error of an operator's command; `resultName` determines its code and HTTP status. */
export class OperatorError extends Error {
  override readonly name = 'OperatorError';

  /**
   * @param resultName Name of the result code in the answer.
   * @param message What happened and what to do, for an operator.
   * @param details Machine-readable facts, such as the current version on a conflict.
   */
  constructor(
    readonly resultName: ResultName,
    message: string,
    readonly details?: ErrorDetails,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
