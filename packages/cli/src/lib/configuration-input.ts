import { readFile } from 'node:fs/promises';

import { type Configuration, parseConfiguration } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { type CliError, usageError } from './cli-error.js';
import type { Environment } from './environment.js';

/** Stands for standard input; the command line's `-` is turned into it. */
export const STANDARD_INPUT = '/dev/stdin';

async function readText(environment: Environment, file: string): Promise<Result<string, CliError>> {
  try {
    if (file === STANDARD_INPUT) return ok(await environment.readStandardInput());
    return ok(await readFile(file, 'utf8'));
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'it does not open';
    return err(usageError(`cannot read ${file}: ${reason}`));
  }
}

/** Reads and checks the configuration that an operator submits. @internal */
export async function readConfiguration(
  environment: Environment,
  file: string,
): Promise<Result<Configuration, CliError>> {
  const text = await readText(environment, file);
  return text.andThen((it) =>
    parseConfiguration(it).mapErr((error) => {
      const source = file === STANDARD_INPUT ? 'standard input' : file;
      return usageError(`${source}: the configuration has mistakes`, error.problems);
    }),
  );
}
