import { writeFile } from 'node:fs/promises';

import { type Result, err, ok } from 'neverthrow';

import { renderBurnPage } from '../burn-html.js';
import { formatBurnReport } from '../burn-text.js';
import { type CliError, usageError } from '../cli-error.js';
import { type RouterCommand, textOption } from '../command.js';

async function writePage(file: string, page: string): Promise<Result<void, CliError>> {
  try {
    await writeFile(file, page);
    return ok(undefined);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'it does not open';
    return err(usageError(`cannot write ${file}: ${reason}`));
  }
}

/** `boragectl report burn`. @internal */
export const reportCommand: RouterCommand = {
  usage: 'report <name>',
  description: 'Show how fast each rule burns its error budget, and what burns it: report burn',
  options: [['--html <file>', 'Write a page with plots too; it opens without a network']],
  examples: ['report burn', 'report burn --html burn.html', 'report burn --json'],
  needsRouter: true,
  async run({ client, output }, [name], options) {
    if (name !== 'burn') return err(usageError("the only report is 'burn'"));
    const report = await client.burnReport();
    if (report.isErr()) return err(report.error);
    const file = textOption(options, 'html');
    if (file !== undefined) {
      const written = await writePage(file, renderBurnPage(report.value));
      if (written.isErr()) return written;
      output.info(`wrote ${file}`);
    }
    output.result(report.value, () => formatBurnReport(report.value));
    return ok(undefined);
  },
};
