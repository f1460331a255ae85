/** First of the result codes which state that the request was not run. */
const FIRST_NOT_RUN_CODE = 100;
/** First of the result codes that leave open whether the request was run. */
const FIRST_UNKNOWN_CODE = 200;
/** First of the result codes that refuse an invalid request; it was not run either. */
const FIRST_BAD_REQUEST_CODE = 300;
const FIRST_OPERATOR_CODE = 400;

/** Returns whether the result code states that the request was not run. @internal */
export function isNotRunCode(code: number): boolean {
  const isNotRun = code >= FIRST_NOT_RUN_CODE && code < FIRST_UNKNOWN_CODE;
  const isBadRequest = code >= FIRST_BAD_REQUEST_CODE && code < FIRST_OPERATOR_CODE;
  return isNotRun || isBadRequest;
}

/** Returns whether the result code leaves open whether the request was run. @internal */
export function isUnknownOutcomeCode(code: number): boolean {
  return code >= FIRST_UNKNOWN_CODE && code < FIRST_BAD_REQUEST_CODE;
}
