import { type ConsolaInstance, LogLevels, createConsola } from 'consola/basic';

import { type CliError, formatError } from './cli-error.js';
import type { Environment } from './environment.js';

const INDENT = 2;

/** Where a command puts its results and messages. */
export interface Output {
  /** Prints a result: as JSON for programs, else as the text that `render` returns. */
  result(value: object, render: () => string): void;
  /** Tells a person how a command goes; left out of JSON output. */
  info(message: string): void;
  warn(message: string): void;
  error(error: CliError): void;
}

/** Results go to standard output, so that every message goes to standard error. */
function createMessageLogger(environment: Environment): ConsolaInstance {
  return createConsola({
    level: LogLevels.info,
    reporters: [
      {
        log({ type, args }) {
          environment.stderr.write(`${type}: ${args.join(' ')}\n`);
        },
      },
    ],
  });
}

/** Creates the output of one run. */
export function createOutput(environment: Environment, isJson: boolean): Output {
  const logger = createMessageLogger(environment);
  const print = (text: string) => {
    environment.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
  };
  return {
    result(value, render) {
      print(isJson ? JSON.stringify(value, null, INDENT) : render());
    },
    info(message) {
      if (!isJson) logger.info(message);
    },
    warn(message) {
      logger.warn(message);
    },
    error(error) {
      logger.error(formatError(error));
      if (!isJson) return;
      const { message, exitCode, problems, body } = error;
      const report = { message, exitCode, problems, ...(body === undefined ? {} : { body }) };
      print(JSON.stringify({ error: report }, null, INDENT));
    },
  };
}
