import { LogLevels, createConsola } from 'consola';
import sonicBoom from 'sonic-boom';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes JSON lines to standard output without ever blocking on it. */
export interface RouterLog {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Writes the buffered lines. */
  flush(): void;
}

/** Largest number of lines a second; further ones are dropped, and their count is logged. */
const MAX_LINES_PER_S = 150;
/** Largest buffer for standard output, in bytes; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1 << 20;
const LINE_WINDOW_MS = 1_000;

/** Destination of log lines. */
export interface LineSink {
  /** Returns false if the line was dropped. */
  write(line: string): boolean;
  flush(): void;
}

/**
 * Creates a sink that writes to a file descriptor asynchronously, and drops lines when its buffer
 * is full.
 */
export function createOutputSink(fd: number): LineSink {
  const out = new sonicBoom.SonicBoom({ fd, sync: false, maxLength: MAX_BUFFERED_BYTES });
  out.on('error', () => undefined);
  return {
    write: (line) => out.write(line),
    flush() {
      try {
        out.flushSync();
      } catch {
        // Nothing reads standard output any more, and there is no other place to report that.
      }
    },
  };
}

/** Creates the log of one router. Each line has its time, level, router and message. */
export function createRouterLog(
  router: string,
  sink: LineSink,
  now: () => number = Date.now,
): RouterLog {
  let windowStart = now();
  let lines = 0;
  let dropped = 0;

  function emit(level: string, message: string, fields: LogFields | undefined): void {
    const at = now();
    if (at - windowStart >= LINE_WINDOW_MS || at < windowStart) {
      windowStart = at;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_S) {
      dropped += 1;
      return;
    }
    lines += 1;
    const lost = dropped > 0 ? { linesDropped: dropped } : {};
    const time = new Date(at).toISOString();
    const line = JSON.stringify({ time, level, router, message, ...fields, ...lost });
    if (sink.write(`${line}\n`)) dropped = 0;
    else dropped += 1;
  }

  const logger = createConsola({
    level: LogLevels.info,
    throttle: 0,
    reporters: [
      {
        log({ type, args }) {
          const [message, fields] = args as [string, LogFields | undefined];
          emit(type, message, fields);
        },
      },
    ],
  });
  return {
    info: (message, fields) => {
      logger.info(message, fields);
    },
    warn: (message, fields) => {
      logger.warn(message, fields);
    },
    error: (message, fields) => {
      logger.error(message, fields);
    },
    flush: () => {
      sink.flush();
    },
  };
}
