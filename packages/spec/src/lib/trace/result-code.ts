/** Result codes from here up to {@link FIRST_UNKNOWN_CODE} say that the request was not run. */
const FIRST_NOT_RUN_CODE = 100;
const FIRST_UNKNOWN_CODE = 200;
/** Result codes from here up to {@link FIRST_OPERATOR_CODE} refuse a request that is wrong. */
const FIRST_BAD_REQUEST_CODE = 300;
const FIRST_OPERATOR_CODE = 400;

/** True when the result code says that the request was not run. @internal */
export function isNotRunCode(code: number): boolean {
  const isNotRun = code >= FIRST_NOT_RUN_CODE && code < FIRST_UNKNOWN_CODE;
  const isBadRequest = code >= FIRST_BAD_REQUEST_CODE && code < FIRST_OPERATOR_CODE;
  return isNotRun || isBadRequest;
}

/** True when the result code leaves open whether the request ran. @internal */
export function isUnknownOutcomeCode(code: number): boolean {
  return code >= FIRST_UNKNOWN_CODE && code < FIRST_BAD_REQUEST_CODE;
}
