import { writeFile } from 'node:fs/promises';

import type { BurnReport, StatusAnswer } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { renderBurnPage } from '../burn-html.js';
import { formatBurnReport } from '../burn-text.js';
import { type CliError, usageError } from '../cli-error.js';
import { type RouterCommand, textOption } from '../command.js';
import { mergeBurnReports } from '../merge-answers.js';
import type { RouterAnswers } from '../router-answers.js';

async function writePage(file: string, page: string): Promise<Result<void, CliError>> {
  try {
    await writeFile(file, page);
    return ok(undefined);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'the file cannot be opened';
    return err(usageError(`cannot write ${file}: ${reason}`));
  }
}

/** Merges the reports and adds why counters of live routers are missing. */
function completeReport(
  { answers, failures }: RouterAnswers<BurnReport>,
  status: Result<StatusAnswer, CliError>,
): BurnReport {
  const report = mergeBurnReports(answers);
  const live = status.isOk()
    ? status.value.routers.filter((it) => it.state === 'live').length
    : answers.length;
  const absent = live - answers.length;
  const hint = `counters of ${absent} of ${live} live routers: name every router by --router`;
  const missing = [...report.missing, ...failures, ...(absent > 0 ? [hint] : [])];
  return { ...report, missing };
}

/** `boragectl report burn`. @internal */
export const reportCommand: RouterCommand = {
  usage: 'report <name>',
  description: 'Show how fast each rule burns its error budget and why; the only report is burn',
  options: [['--html <file>', 'Also write a self-contained HTML page with plots']],
  examples: ['report burn', 'report burn --html burn.html', 'report burn --json'],
  needsRouter: true,
  async run({ client, output }, [name], options) {
    if (name !== 'burn') return err(usageError("unknown report; the only report is 'burn'"));
    const collected = await client.burnReport();
    if (collected.isErr()) return err(collected.error);
    const report = completeReport(collected.value, await client.status());
    const file = textOption(options, 'html');
    if (file !== undefined) {
      const written = await writePage(file, renderBurnPage(report));
      if (written.isErr()) return written;
      output.info(`wrote ${file}`);
    }
    output.result(report, () => formatBurnReport(report));
    return ok(undefined);
  },
};
