import type { Result } from 'neverthrow';

import type { CliError } from './cli-error.js';
import type { Environment } from './environment.js';
import type { OperatorClient } from './operator-client.js';
import type { Output } from './output.js';

/** Parsed options by their camelCase names; the parser converts numeric values to numbers. */
export type Options = Readonly<Record<string, unknown>>;

/** Outcome of a command. */
export type CommandOutcome = Promise<Result<void, CliError>>;

/** Dependencies of every command. */
export interface LocalContext {
  readonly environment: Environment;
  readonly output: Output;
}

/** Dependencies of a command that calls routers. */
export interface RouterContext extends LocalContext {
  readonly client: OperatorClient;
}

interface CommandHelp {
  /** Name and arguments, such as `owner <service> <key>`. */
  readonly usage: string;
  readonly description: string;
  /** Flags with their descriptions. */
  readonly options?: readonly (readonly [flag: string, description: string])[];
  /** Command lines without the program name. */
  readonly examples: readonly string[];
}

/** A command that runs without a router. */
export interface LocalCommand extends CommandHelp {
  readonly needsRouter: false;
  run(context: LocalContext, args: readonly string[], options: Options): CommandOutcome;
}

/** A command that calls routers. */
export interface RouterCommand extends CommandHelp {
  readonly needsRouter: true;
  run(context: RouterContext, args: readonly string[], options: Options): CommandOutcome;
}

/** One command of `boragectl`. */
export type Command = LocalCommand | RouterCommand;

/** Returns an option's value as text, also if the parser converted it to a number. @internal */
export function textOption(options: Options, name: string): string | undefined {
  const value = options[name];
  if (typeof value === 'string') return value;
  return typeof value === 'number' ? String(value) : undefined;
}

/** Returns all text values of a repeatable option. @internal */
export function textOptions(options: Options, name: string): string[] {
  const value = options[name];
  const values: unknown[] = Array.isArray(value) ? value : [value];
  return values.filter((it) => typeof it === 'string');
}
