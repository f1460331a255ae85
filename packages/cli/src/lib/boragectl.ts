import { err } from 'neverthrow';

import { type CliError, EXIT_CODES, type ExitCode } from './cli-error.js';
import type { CommandOutcome, LocalContext } from './command.js';
import { type Invocation, parseCommandLine } from './command-line.js';
import { commands } from './command-list.js';
import type { Environment } from './environment.js';
import { createOperatorClient } from './operator-client.js';
import { createOutput } from './output.js';
import { readRouterAccess } from './router-access.js';

async function runInvocation(context: LocalContext, invocation: Invocation): CommandOutcome {
  const { command, args, options } = invocation;
  if (!command.needsRouter) return command.run(context, args, options);
  const routers = await readRouterAccess(context.environment, options);
  if (routers.isErr()) return err(routers.error);
  await using client = createOperatorClient(routers.value);
  return await command.run({ ...context, client }, args, options);
}

/**
 * Runs one command line of `boragectl` and returns its exit code.
 *
 * @param argv Arguments without the program name.
 */
export async function runBoragectl(
  argv: readonly string[],
  environment: Environment,
): Promise<ExitCode> {
  const output = createOutput(environment, argv.includes('--json'));
  const fail = (error: CliError): ExitCode => {
    output.error(error);
    return error.exitCode;
  };
  const invocation = parseCommandLine(commands, argv);
  if (invocation.isErr()) return fail(invocation.error);
  if (invocation.value === undefined) return EXIT_CODES.ok;
  const outcome = await runInvocation({ environment, output }, invocation.value);
  return outcome.match(() => EXIT_CODES.ok, fail);
}
