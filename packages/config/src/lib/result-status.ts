import { RESULT_CODES, type ResultCode, type ResultName } from './result-codes.js';

/** Whether an answer has `Retry-After`: always, when the time is known, or never. */
export type RetryAfter = 'yes' | 'may' | 'no';

/** HTTP status and `Retry-After` of a result code. */
interface ResultStatus {
  readonly httpStatus: number;
  readonly retryAfter: RetryAfter;
}

function status(httpStatus: number, retryAfter: RetryAfter = 'no'): ResultStatus {
  return { httpStatus, retryAfter };
}

const STATUSES: Readonly<Record<ResultName, ResultStatus>> = {
  ok: status(200),

  overloaded: status(503, 'yes'),
  noOwner: status(503, 'yes'),
  deadlineTooShort: status(503, 'yes'),
  tableUnavailable: status(503, 'yes'),
  quarantined: status(422, 'yes'),
  routerNotReady: status(503, 'yes'),
  ownerUnreachable: status(503, 'yes'),
  refusedByServer: status(503, 'yes'),
  unfinishedElsewhere: status(409, 'yes'),
  noEligibleServer: status(503, 'yes'),

  outcomeUnknown: status(502, 'may'),
  answerIncomplete: status(502, 'may'),
  deadlinePassed: status(504, 'may'),
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
  storeUnavailable: status(503, 'yes'),
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

/** Returns the HTTP status of answers with a result code. */
export function httpStatusOf(code: ResultCode): number {
  return STATUSES[nameOf(code)].httpStatus;
}

/** Returns whether answers with a result code have `Retry-After`. */
export function retryAfterOf(code: ResultCode): RetryAfter {
  return STATUSES[nameOf(code)].retryAfter;
}
