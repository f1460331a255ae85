import { Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { checkServices } from './check-services.js';
import { ConfigurationError } from './configuration-error.js';
import { problemsOf } from './problem.js';
import {
  CONFIGURATION_FORMAT,
  type Configuration,
  type ServiceConfigInput,
  configurationSchema,
} from './service-config.js';

const INDENT = 2;

function parseJson(text: string): Result<unknown, ConfigurationError> {
  return Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    (cause) => new ConfigurationError([{ path: '', message: `not JSON: ${messageOf(cause)}` }]),
  )();
}

function messageOf(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

function checkDocument(document: unknown): Result<Configuration, ConfigurationError> {
  const parsed = v.safeParse(configurationSchema, document);
  if (!parsed.success) return err(new ConfigurationError(problemsOf(parsed.issues)));
  const problems = checkServices(parsed.output.services);
  return problems.length === 0 ? ok(parsed.output) : err(new ConfigurationError(problems));
}

/** Parses a printed configuration and checks all of it; the error lists all problems. */
export function parseConfiguration(text: string): Result<Configuration, ConfigurationError> {
  return parseJson(text).andThen(checkDocument);
}

/** Checks services together and formats them as the document that `boragectl apply` reads. */
export function formatConfiguration(
  services: readonly ServiceConfigInput[],
): Result<string, ConfigurationError> {
  const document = { format: CONFIGURATION_FORMAT, services };
  return checkDocument(document).map((it) => `${JSON.stringify(it, null, INDENT)}\n`);
}
