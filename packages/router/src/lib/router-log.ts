import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';

import { LogLevels, createConsola } from 'consola/core';
import sonicBoom from 'sonic-boom';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes JSON lines to standard output without ever blocking on it. */
export interface RouterLog {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Waits until the buffered lines are written, or nobody reads them for a while. */
  flush(): Promise<void>;
}

/** Largest number of lines a second; further ones are dropped, and their count is logged. */
const MAX_LINES_PER_S = 150;
/** Largest buffer for standard output, in bytes; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1 << 20;
const LINE_WINDOW_MS = 1_000;
/** Longest time for which the end of the process waits for its last lines, in milliseconds. */
const MAX_FLUSH_MS = 100;

/** Destination of log lines. */
export interface LineSink {
  /** Returns false if the line was dropped. */
  write(line: string): boolean;
  flush(): Promise<void> | undefined;
}

/**
 * Creates a sink that writes to a file descriptor asynchronously, and drops lines when its buffer
 * is full. A synchronous flush would never return if nobody reads the output, or it is closed.
 */
export function createOutputSink(fd: number): LineSink {
  const out = new sonicBoom.SonicBoom({ fd, sync: false, maxLength: MAX_BUFFERED_BYTES });
  let isWritten = true;
  out.on('drain', () => {
    isWritten = true;
  });
  out.on('error', () => undefined);
  return {
    write(line) {
      isWritten = false;
      return out.write(line);
    },
    async flush() {
      if (isWritten) return;
      const done = new AbortController();
      const { signal } = done;
      // An error of the output is an end of the wait, too.
      const written = once(out, 'drain', { signal }).catch(() => undefined);
      await Promise.race([written, sleep(MAX_FLUSH_MS, undefined, { signal })]);
      done.abort();
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
    async flush() {
      await sink.flush();
    },
  };
}
