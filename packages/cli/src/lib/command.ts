import type { Result } from 'neverthrow';

import type { CliError } from './cli-error.js';
import type { Environment } from './environment.js';
import type { OperatorClient } from './operator-client.js';
import type { Output } from './output.js';

/** Options of a command line by their names in camelCase; numbers may have been converted. */
export type Options = Readonly<Record<string, unknown>>;

/** Outcome of a command. */
export type CommandOutcome = Promise<Result<void, CliError>>;

/** What every command works with. */
export interface LocalContext {
  readonly environment: Environment;
  readonly output: Output;
}

/** What a command that asks routers works with. */
export interface RouterContext extends LocalContext {
  readonly client: OperatorClient;
}

interface CommandHelp {
  /** Name and arguments, such as `owner <service> <key>`. */
  readonly usage: string;
  readonly description: string;
  /** Flags and what they do. */
  readonly options?: readonly (readonly [flag: string, description: string])[];
  /** Command lines without the program's name. */
  readonly examples: readonly string[];
}

/** A command that runs without a router. */
export interface LocalCommand extends CommandHelp {
  readonly needsRouter: false;
  run(context: LocalContext, args: readonly string[], options: Options): CommandOutcome;
}

/** A command that asks routers. */
export interface RouterCommand extends CommandHelp {
  readonly needsRouter: true;
  run(context: RouterContext, args: readonly string[], options: Options): CommandOutcome;
}

/** One command of `boragectl`. */
export type Command = LocalCommand | RouterCommand;

/** Returns an option as text; a number that was converted is turned back. @internal */
export function textOption(options: Options, name: string): string | undefined {
  const value = options[name];
  if (typeof value === 'string') return value;
  return typeof value === 'number' ? String(value) : undefined;
}

/** Returns all values of an option that may be repeated. @internal */
export function textOptions(options: Options, name: string): string[] {
  const value = options[name];
  const values: unknown[] = Array.isArray(value) ? value : [value];
  return values.filter((it) => typeof it === 'string');
}
