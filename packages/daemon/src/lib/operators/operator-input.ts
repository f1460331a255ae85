import {
  type Problem,
  type PutService,
  checkService,
  formatProblem,
  problemsOf,
  putServiceSchema,
} from '@boragepoint/config';
import type { Context } from 'hono';
import { type Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { OperatorError } from './operator-error.js';

type Checked<T> = Result<T, OperatorError>;

function inputError(
  name: 'badRequest' | 'invalidConfiguration',
  summary: string,
  problems: readonly Problem[],
): OperatorError {
  const first = problems[0] === undefined ? '' : `: ${formatProblem(problems[0])}`;
  const more = problems.length > 1 ? ` (and ${problems.length - 1} more)` : '';
  return new OperatorError(name, `${summary}${first}${more}`, { problems: [...problems] });
}

async function readJson(c: Context): Promise<Checked<unknown>> {
  try {
    return ok(await c.req.json<unknown>());
  } catch (cause) {
    return err(new OperatorError('badRequest', 'the body is not JSON', undefined, { cause }));
  }
}

/** Checks a value, such as a query, against its schema. @internal */
export function checkInput<S extends v.GenericSchema>(
  schema: S,
  value: unknown,
): Checked<v.InferOutput<S>> {
  const parsed = v.safeParse(schema, value);
  if (parsed.success) return ok(parsed.output);
  return err(inputError('badRequest', 'the request is wrong', problemsOf(parsed.issues)));
}

/** Reads a JSON body and checks it against its schema. @internal */
export async function readBody<S extends v.GenericSchema>(
  c: Context,
  schema: S,
): Promise<Checked<v.InferOutput<S>>> {
  const json = await readJson(c);
  return json.andThen((value) => checkInput(schema, value));
}

function checkPut(name: string, body: unknown): Checked<PutService> {
  const parsed = v.safeParse(putServiceSchema, body);
  if (!parsed.success) {
    return err(inputError('invalidConfiguration', 'refused', problemsOf(parsed.issues)));
  }
  const { config } = parsed.output;
  const problems = checkService(config).map((it) => ({ ...it, path: `config.${it.path}` }));
  if (config.name !== name) {
    problems.push({ path: 'config.name', message: `must be ${name}, as in the path` });
  }
  if (problems.length > 0) return err(inputError('invalidConfiguration', 'refused', problems));
  return ok(parsed.output);
}

/** Reads and checks a submitted configuration of the service that the path names. @internal */
export async function readPut(c: Context, name: string): Promise<Checked<PutService>> {
  const json = await readJson(c);
  return json.andThen((body) => checkPut(name, body));
}
