import {
  type ErrorBody,
  type Problem,
  RESULT_CODES,
  type ResultCode,
  familyOf,
  formatProblem,
} from '@boragepoint/config';

/** Exit codes of `boragectl`; `docs/OPERATING.md` has the table. */
export const EXIT_CODES = {
  ok: 0,
  /** The command failed or met a conflict. */
  failed: 1,
  /** Wrong usage or invalid input. */
  usage: 2,
  /** The configuration was written but is not in force everywhere in time. */
  notInForce: 3,
  /** No router answered, or the token was refused. */
  unreachable: 4,
} as const;
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** A command that failed. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    readonly exitCode: ExitCode,
    message: string,
    /** The router's answer, when there is one. */
    readonly body?: ErrorBody,
    /** Mistakes in what the operator wrote. */
    readonly problems: readonly Problem[] = body?.details?.problems ?? [],
  ) {
    super(message);
  }
}

/** Creates the error for wrong usage. @internal */
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

/** Renders an error with all its problems. @internal */
export function formatError(error: CliError): string {
  return [error.message, ...error.problems.map((it) => `  ${formatProblem(it)}`)].join('\n');
}
