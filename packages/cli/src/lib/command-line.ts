import { type CAC, cac } from 'cac';
import { type Result, err, ok } from 'neverthrow';

import { type CliError, EXIT_CODES, usageError } from './cli-error.js';
import type { Command, Options } from './command.js';
import { STANDARD_INPUT } from './configuration-input.js';

const PROGRAM = 'boragectl';
const EXIT_CODE_LINES = [
  `${EXIT_CODES.ok}  done`,
  `${EXIT_CODES.failed}  failed, or met a conflict`,
  `${EXIT_CODES.usage}  wrong usage or invalid input`,
  `${EXIT_CODES.notInForce}  written, but not in force everywhere in time`,
  `${EXIT_CODES.unreachable}  no router answered, or the token was refused`,
];

/** A parsed command line. @internal */
export interface Invocation {
  readonly command: Command;
  readonly args: readonly string[];
  readonly options: Options;
}

function addCommand(cli: CAC, command: Command, choose: (invocation: Invocation) => void): void {
  const entry = cli.command(command.usage, command.description);
  for (const [flag, description] of command.options ?? []) entry.option(flag, description);
  for (const example of command.examples) entry.example(`  ${PROGRAM} ${example}`);
  const maxArgs = command.usage.split(' ').length - 1;
  entry.action((...values: unknown[]) => {
    if (cli.args.length > maxArgs) throw new Error(`too many arguments; use: ${command.usage}`);
    const args = values.slice(0, -1).filter((it) => typeof it === 'string');
    choose({ command, args, options: values.at(-1) as Options });
  });
}

function addGlobalOptions(cli: CAC): void {
  cli.option(
    '--router <url>',
    "Address or URL of a router's operators' listener; may be given more than once",
  );
  cli.option('--token-file <file>', "File that holds the operators' token");
  cli.option('--json', 'Print JSON for programs');
  cli.help((sections) => [
    ...sections,
    { title: 'Exit codes', body: EXIT_CODE_LINES.map((line) => `  ${line}`).join('\n') },
  ]);
}

/**
 * Parses a command line. Prints help and returns `undefined` if the line asks for it. @internal
 *
 * @param argv Arguments without the program name.
 */
export function parseCommandLine(
  commands: readonly Command[],
  argv: readonly string[],
): Result<Invocation | undefined, CliError> {
  const cli = cac(PROGRAM);
  let chosen: Invocation | undefined;
  for (const command of commands) addCommand(cli, command, (it) => (chosen = it));
  addGlobalOptions(cli);
  // cac drops a lone hyphen, so it is replaced by the path of standard input.
  const args = argv.map((it) => (it === '-' ? STANDARD_INPUT : it));
  try {
    const { options } = cli.parse(['', PROGRAM, ...args], { run: false });
    if (options.help === true) return ok(undefined);
    cli.runMatchedCommand();
  } catch (cause) {
    return err(usageError(cause instanceof Error ? cause.message : String(cause)));
  }
  if (chosen !== undefined) return ok(chosen);
  const mistake = cli.args[0] === undefined ? 'no command' : `unknown command '${cli.args[0]}'`;
  return err(usageError(`${mistake}; see ${PROGRAM} --help`));
}
