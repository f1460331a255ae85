import type { ErrorDetails, ResultName } from '@boragepoint/config';

/** An operator's command that failed; `resultName` gives its code and HTTP status. */
export class OperatorError extends Error {
  override readonly name = 'OperatorError';

  /**
   * @param resultName Name of the result code that is answered.
   * @param message What happened and what to do, for an operator.
   * @param details Facts for programs, such as the current version on a conflict.
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
