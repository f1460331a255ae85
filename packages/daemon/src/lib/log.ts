import type { LogLevel } from '@boragepoint/config';
import { LogLevels, createConsola } from 'consola';

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger that writes JSON lines to standard output. */
export interface Log {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

function jsonOf(value: unknown): unknown {
  return value instanceof Error ? { name: value.name, message: value.message } : value;
}

/** Creates the logger of one router. Each line has the time, level, router and message. */
export function createLog(level: LogLevel, router: string): Log {
  const logger = createConsola({
    level: LogLevels[level],
    reporters: [
      {
        log({ date, type, args }) {
          const [message, fields] = args as [string, LogFields | undefined];
          const line = { time: date.toISOString(), level: type, router, message, ...fields };
          process.stdout.write(`${JSON.stringify(line, (_key, it: unknown) => jsonOf(it))}\n`);
        },
      },
    ],
  });
  return {
    error: (message, fields) => {
      logger.error(message, fields);
    },
    warn: (message, fields) => {
      logger.warn(message, fields);
    },
    info: (message, fields) => {
      logger.info(message, fields);
    },
    debug: (message, fields) => {
      logger.debug(message, fields);
    },
  };
}
