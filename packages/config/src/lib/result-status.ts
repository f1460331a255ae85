import { RESULT_CODES, type ResultCode, type ResultName } from './result-codes.js';

/** How a result code is answered over HTTP. */
export interface ResultStatus {
  readonly httpStatus: number;
  /** True when the answer says in `Retry-After` when to come back. */
  readonly retryAfter: boolean;
}

function status(httpStatus: number): ResultStatus {
  return { httpStatus, retryAfter: false };
}

function comeBack(httpStatus: number): ResultStatus {
  return { httpStatus, retryAfter: true };
}

const STATUSES: Readonly<Record<ResultName, ResultStatus>> = {
  ok: status(200),

  overloaded: comeBack(503),
  noOwner: comeBack(503),
  deadlineTooShort: comeBack(503),
  tableUnavailable: comeBack(503),
  quarantined: status(422),
  routerNotReady: comeBack(503),
  ownerUnreachable: comeBack(503),
  refusedByServer: comeBack(503),
  unfinishedElsewhere: comeBack(409),

  outcomeUnknown: status(502),
  answerIncomplete: status(502),
  deadlinePassed: status(504),
  answerTooLarge: status(502),
  answerExpired: status(410),

  unknownService: status(404),
  missingKey: status(400),
  noMatchingRule: status(404),
  badIdempotencyKey: status(400),
  idempotencyKeyReused: status(422),
  bodyTooLarge: status(413),
  headersTooLarge: status(431),
  badRequest: status(400),

  unauthorized: status(401),
  invalidConfiguration: status(422),
  versionConflict: status(409),
  notFound: status(404),
  notInForce: status(504),
  storeUnavailable: comeBack(503),
  moveRefused: status(409),
  internalError: status(500),
};

const names = new Map<ResultCode, ResultName>(
  (Object.keys(RESULT_CODES) as ResultName[]).map((name) => [RESULT_CODES[name], name]),
);

/** Returns the name of a result code. */
export function nameOf(code: ResultCode): ResultName {
  return names.get(code) ?? 'internalError';
}

/** Returns the HTTP status with which a result code is answered. */
export function httpStatusOf(code: ResultCode): number {
  return STATUSES[nameOf(code)].httpStatus;
}

/** Tells whether an answer with this code says in `Retry-After` when to come back. */
export function hasRetryAfter(code: ResultCode): boolean {
  return STATUSES[nameOf(code)].retryAfter;
}
