import { type Result, err, ok } from 'neverthrow';
import type * as v from 'valibot';

import { type ApiAnswer, readAnswer } from './api-transport.js';
import { CliError, EXIT_CODES } from './cli-error.js';

/** Answers of all routers that were asked. */
export interface Gathered<T> {
  readonly answers: readonly [T, ...T[]];
  /** Why the other routers gave none. */
  readonly failures: readonly string[];
}

/** Keeps the answers that can be read; fails when there is none. @internal */
export function gather<S extends v.GenericSchema>(
  sent: readonly Result<ApiAnswer, string>[],
  schema: S,
): Result<Gathered<v.InferOutput<S>>, CliError> {
  const answers: v.InferOutput<S>[] = [];
  const failures: string[] = [];
  let refusal: CliError | undefined;
  for (const answer of sent) {
    if (answer.isErr()) {
      failures.push(answer.error);
      continue;
    }
    const read = readAnswer(answer.value, schema);
    if (read.isOk()) answers.push(read.value);
    else {
      refusal ??= read.error;
      failures.push(`${answer.value.router}: ${read.error.message}`);
    }
  }
  const [first, ...others] = answers;
  if (first !== undefined) return ok({ answers: [first, ...others], failures });
  const message = `no router answered: ${failures.join('; ')}`;
  return err(refusal ?? new CliError(EXIT_CODES.unreachable, message));
}
