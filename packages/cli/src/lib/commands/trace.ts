import { readFile } from 'node:fs/promises';

import { err, fromPromise, ok } from 'neverthrow';

import { usageError } from '../cli-error.js';
import { type LocalCommand, textOptions } from '../command.js';
import { type LogLine, parseLogLines } from '../log-lines.js';
import { traceRequest } from '../request-trace.js';

function format({ time, router, level, message, ...fields }: LogLine): string {
  return `${time} ${router} ${level} ${message} ${JSON.stringify(fields)}`;
}

/** `boragectl trace`. @internal */
export const traceCommand: LocalCommand = {
  usage: 'trace <request>',
  description: 'Collect the lines of router logs that explain one request, oldest first',
  options: [['--log <file>', 'Log file of a router; may be given more than once']],
  examples: ['trace 9c41d07be2a35f68 --log router-1.log --log router-2.log'],
  needsRouter: false,
  async run({ output }, [requestId = ''], options) {
    const files = textOptions(options, 'log');
    if (files.length === 0) return err(usageError('--log FILE is missing'));
    const lines: LogLine[] = [];
    for (const file of files) {
      const text = await fromPromise(readFile(file, 'utf8'), (cause) =>
        usageError(`cannot read ${file}: ${String(cause)}`),
      );
      if (text.isErr()) return err(text.error);
      lines.push(...parseLogLines(text.value));
    }
    const traced = traceRequest(lines, requestId);
    if (traced.length === 0)
      return err(usageError(`these logs have no line of request ${requestId}`));
    output.result(traced, () => traced.map(format).join('\n'));
    return ok(undefined);
  },
};
