import { type Result, err, ok } from 'neverthrow';
import type * as v from 'valibot';

import { type ApiAnswer, readAnswer } from './api-transport.js';
import { CliError, EXIT_CODES } from './cli-error.js';

/** Valid answers of several routers to one request. */
export interface RouterAnswers<T> {
  readonly answers: readonly [T, ...T[]];
  /** For each other router, why there is no valid answer. */
  readonly failures: readonly string[];
}

/** Separates valid answers from failures; returns an error if no answer is valid. @internal */
export function collectAnswers<S extends v.GenericSchema>(
  responses: readonly Result<ApiAnswer, string>[],
  schema: S,
): Result<RouterAnswers<v.InferOutput<S>>, CliError> {
  const answers: v.InferOutput<S>[] = [];
  const failures: string[] = [];
  let firstError: CliError | undefined;
  for (const answer of responses) {
    if (answer.isErr()) {
      failures.push(answer.error);
      continue;
    }
    const read = readAnswer(answer.value, schema);
    if (read.isOk()) answers.push(read.value);
    else {
      firstError ??= read.error;
      failures.push(`${answer.value.router}: ${read.error.message}`);
    }
  }
  const [first, ...others] = answers;
  if (first !== undefined) return ok({ answers: [first, ...others], failures });
  const message = `no router answered: ${failures.join('; ')}`;
  return err(firstError ?? new CliError(EXIT_CODES.unreachable, message));
}
