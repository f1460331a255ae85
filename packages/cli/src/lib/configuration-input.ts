import { readFile } from 'node:fs/promises';

import { type Configuration, parseConfiguration } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { type CliError, usageError } from './cli-error.js';
import type { Environment } from './environment.js';

/** Path that means standard input; the command line parser replaces `-` with it. */
export const STANDARD_INPUT = '/dev/stdin';

async function readText(environment: Environment, file: string): Promise<Result<string, CliError>> {
  try {
    if (file === STANDARD_INPUT) return ok(await environment.readStandardInput());
    return ok(await readFile(file, 'utf8'));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'the file cannot be opened';
    return err(usageError(`cannot read ${file}: ${reason}`));
  }
}

/** Reads and validates a configuration from a file or standard input. @internal */
export async function readConfiguration(
  environment: Environment,
  file: string,
): Promise<Result<Configuration, CliError>> {
  const text = await readText(environment, file);
  return text.andThen((it) =>
    parseConfiguration(it).mapErr((error) => {
      const source = file === STANDARD_INPUT ? 'standard input' : file;
      return usageError(`${source}: the configuration is invalid`, error.problems);
    }),
  );
}
