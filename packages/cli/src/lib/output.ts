import { type ConsolaInstance, LogLevels, createConsola } from 'consola/basic';

import { type CliError, formatError } from './cli-error.js';
import type { Environment } from './environment.js';

const INDENT = 2;

/** Destination of a command's results and messages. */
export interface Output {
  /** Prints a result as JSON with `--json`, else as the text that `render` returns. */
  result(value: object, render: () => string): void;
  /** Prints a progress message; does nothing with `--json`. */
  info(message: string): void;
  warn(message: string): void;
  /** Prints an error as a message, and with `--json` also as JSON to standard output. */
  error(error: CliError): void;
}

/** Creates a logger that writes to standard error, because standard output is for results only. */
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

/** Creates the output of one command line. */
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
