import { type Result, err, ok } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import * as v from 'valibot';

import { type Problem, formatPath, formatProblem, keysOf, messageOf } from './problem.js';
import { type Settings, settingsSchema } from './settings-schema.js';
import { createTomlLines } from './toml-lines.js';

/** Defaults for missing tables, so that each missing setting in them is reported. */
const EMPTY_TABLES = { instance: {}, listen: {}, platform: {}, operators: {} };
/** Ending of a listen address that lets the system choose a free port. */
const FREE_PORT_SUFFIX = ':0';

/** Error of invalid settings; `problems` lists all problems. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(formatProblem).join('\n'));
  }
}

/** Parses TOML text. @internal */
export function parseToml(text: string): Result<object, SettingsError> {
  try {
    return ok(parse(text));
  } catch (cause) {
    if (!(cause instanceof TomlError)) {
      return err(new SettingsError([{ path: '', message: `not TOML: ${String(cause)}` }]));
    }
    const summary = cause.message.split('\n')[0] ?? 'not TOML';
    return err(new SettingsError([{ path: '', line: cause.line, message: summary }]));
  }
}

/** Returns the keys of the listeners that have the address of an earlier listener. */
function duplicateListeners(listen: Settings['listen']): string[] {
  const entries = Object.entries(listen).filter(
    ([, address]) => !address.endsWith(FREE_PORT_SUFFIX),
  );
  const isDuplicate = (address: string, index: number) =>
    entries.findIndex(([, other]) => other === address) < index;
  return entries.filter(([, address], index) => isDuplicate(address, index)).map(([key]) => key);
}

/**
 * Reads the settings of `boragepointd` from TOML text. All invalid, unknown and missing settings
 * are reported together, each with its line if known. Text that is not TOML gives one problem.
 */
export function loadSettings(tomlText: string): Result<Settings, SettingsError> {
  const lines = createTomlLines(tomlText);
  const problem = (keys: (string | number)[], message: string): Problem => ({
    path: formatPath(keys),
    line: lines.lineOf(keys),
    message,
  });
  return parseToml(tomlText).andThen((document) => {
    const parsed = v.safeParse(settingsSchema, { ...EMPTY_TABLES, ...document });
    if (!parsed.success) {
      const problems = parsed.issues.map((issue) => problem(keysOf(issue), messageOf(issue)));
      return err(new SettingsError(problems));
    }
    const duplicates = duplicateListeners(parsed.output.listen);
    if (duplicates.length === 0) return ok(parsed.output);
    const problems = duplicates.map((key) =>
      problem(['listen', key], 'another listener has the same address'),
    );
    return err(new SettingsError(problems));
  });
}
