/**
 * Numbered result codes. 1xx: the request was provably not run. 2xx: the outcome is unknown.
 * 3xx: the request is invalid and was not run. 4xx: an operator's command failed.
 * `docs/RESULT-CODES.md` describes what a caller should do on each code.
 */
export const RESULT_CODES = {
  ok: 0,

  overloaded: 101,
  noOwner: 102,
  deadlineTooShort: 103,
  tableUnavailable: 104,
  quarantined: 105,
  routerNotReady: 106,
  ownerUnreachable: 107,
  refusedByServer: 108,
  unfinishedElsewhere: 109,
  noEligibleServer: 110,

  outcomeUnknown: 201,
  answerIncomplete: 202,
  deadlinePassed: 203,
  answerTooLarge: 204,
  answerExpired: 205,

  unknownService: 301,
  missingKey: 302,
  noMatchingRule: 303,
  badIdempotencyKey: 304,
  idempotencyKeyReused: 305,
  bodyTooLarge: 306,
  headersTooLarge: 307,
  badRequest: 308,

  unauthorized: 401,
  invalidConfiguration: 402,
  versionConflict: 403,
  notFound: 404,
  notInForce: 405,
  storeUnavailable: 406,
  moveRefused: 407,
  internalError: 408,
} as const;

/** Name of a result code. */
export type ResultName = keyof typeof RESULT_CODES;

/** Number of a result code. */
export type ResultCode = (typeof RESULT_CODES)[ResultName];

/** Class of result codes with the same meaning for the request. */
export type ResultFamily = 'ok' | 'not-run' | 'outcome-unknown' | 'bad-request' | 'operator';

const FAMILIES: readonly ResultFamily[] = [
  'ok',
  'not-run',
  'outcome-unknown',
  'bad-request',
  'operator',
];
const CODES_PER_FAMILY = 100;

/** Returns the family that a result code belongs to. */
export function familyOf(code: ResultCode): ResultFamily {
  return FAMILIES[Math.floor(code / CODES_PER_FAMILY)] ?? 'operator';
}
