import {
  type ErrorBody,
  type Problem,
  RESULT_CODES,
  type ResultCode,
  familyOf,
  formatProblem,
} from '@boragepoint/config';

/** Exit codes of `boragectl`, documented in `docs/OPERATING.md`. */
export const EXIT_CODES = {
  ok: 0,
  /** The command failed or met a conflict. */
  failed: 1,
  /** Wrong usage or invalid input. */
  usage: 2,
  /** A written or wanted version was not in force on every router in time. */
  notInForce: 3,
  /** No router answered, or the token was refused. */
  unreachable: 4,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Failure of a command, with the exit code that reports it. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    readonly exitCode: ExitCode,
    message: string,
    /** Error body of the router's answer, if one was received. */
    readonly body?: ErrorBody,
    /** Details of the failure, such as mistakes in the submitted configuration. */
    readonly problems: readonly Problem[] = body?.details?.problems ?? [],
  ) {
    super(message);
  }
}

/** Creates the error for wrong usage or invalid input. @internal */
export function usageError(message: string, problems: readonly Problem[] = []): CliError {
  return new CliError(EXIT_CODES.usage, message, undefined, problems);
}

function exitCodeOf(code: ResultCode): ExitCode {
  if (code === RESULT_CODES.unauthorized) return EXIT_CODES.unreachable;
  if (code === RESULT_CODES.invalidConfiguration) return EXIT_CODES.usage;
  if (code === RESULT_CODES.notInForce) return EXIT_CODES.notInForce;
  return familyOf(code) === 'bad-request' ? EXIT_CODES.usage : EXIT_CODES.failed;
}

/** Creates the error for a router's refusal. @internal */
export function refusedError(body: ErrorBody): CliError {
  const message = `${body.message} (${body.code} ${body.name})`;
  return new CliError(exitCodeOf(body.code), message, body);
}

/** Renders an error and its problems, one per line. @internal */
export function formatError(error: CliError): string {
  return [error.message, ...error.problems.map((it) => `  ${formatProblem(it)}`)].join('\n');
}
