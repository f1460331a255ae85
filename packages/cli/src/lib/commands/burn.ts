import { err, ok } from 'neverthrow';

import { usageError } from '../cli-error.js';
import { type LocalCommand, textOption, textOptions } from '../command.js';
import { fetchMetrics } from '../fetch-metrics.js';
import { type ServiceBurn, serviceBurns } from '../service-burn.js';
import { formatTable } from '../table.js';

const DEFAULT_TARGET = '0.99';
const HEADER = ['service', 'requests', 'in time', 'late', 'refused', 'failed', 'burn'];

function format(burns: readonly ServiceBurn[]): string {
  const rows = burns.map((it) => [
    it.service,
    it.requests,
    it.inTime,
    it.late,
    it.refused,
    it.failed,
    it.burn.toFixed(2),
  ]);
  return formatTable(HEADER, rows);
}

/** `boragectl burn`. @internal */
export const burnCommand: LocalCommand = {
  usage: 'burn',
  description:
    'Show the error budget burnt by each service since its routers started, from their metrics',
  options: [
    ['--metrics <url>', 'URL of the metrics of a router; may be given more than once'],
    ['--target <share>', `Share of requests that should be in time (default: ${DEFAULT_TARGET})`],
  ],
  examples: ['burn --metrics http://10.1.0.34:9464/metrics --target 0.95'],
  needsRouter: false,
  async run({ output }, _args, options) {
    const urls = textOptions(options, 'metrics');
    if (urls.length === 0) return err(usageError('--metrics URL is missing'));
    const target = Number(textOption(options, 'target') ?? DEFAULT_TARGET);
    if (!(target > 0 && target < 1)) {
      return err(usageError('--target must be greater than 0 and less than 1'));
    }
    const texts: string[] = [];
    for (const url of urls) {
      const text = await fetchMetrics(url);
      if (text.isErr()) return err(usageError(text.error));
      texts.push(text.value);
    }
    const burns = serviceBurns(texts, target);
    output.result(burns, () => format(burns));
    return ok(undefined);
  },
};
