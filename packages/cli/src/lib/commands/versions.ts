import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { err, ok } from 'neverthrow';

import { CliError, EXIT_CODES, usageError } from '../cli-error.js';
import { type LocalCommand, textOption, textOptions } from '../command.js';
import { fetchMetrics } from '../fetch-metrics.js';
import { type RouterVersions, mismatchedRouters, parseRouterVersions } from '../fleet-versions.js';
import { formatTable } from '../table.js';

const HEADER = ['router', 'configuration', 'since', 'settings', 'since', 'refused', ''];
const POLL_INTERVAL_MS = 500;
const MS_PER_S = 1_000;
const NO_VALUE = '-';

const formatEpochSeconds = (seconds: number | undefined) =>
  seconds === undefined ? NO_VALUE : new Date(seconds * MS_PER_S).toISOString();

function format(fleet: readonly RouterVersions[], mismatched: readonly RouterVersions[]): string {
  const rows = fleet.map((it) => [
    it.router,
    it.configuration ?? NO_VALUE,
    formatEpochSeconds(it.configuredAt),
    it.settings ?? NO_VALUE,
    formatEpochSeconds(it.settledAt),
    it.refused ?? NO_VALUE,
    it.problem ?? (mismatched.includes(it) ? 'differs' : ''),
  ]);
  return formatTable(HEADER, rows);
}

async function fetchVersions(url: string): Promise<RouterVersions> {
  const text = await fetchMetrics(url);
  return text.match(
    (it) => parseRouterVersions(url, it),
    (problem) => ({ router: url, problem }),
  );
}

function mismatchError(mismatched: readonly RouterVersions[]): CliError {
  const problems = mismatched.map((it) => ({
    path: it.router,
    message:
      it.problem ??
      `has configuration ${it.configuration ?? 'none'} and settings ${it.settings ?? 'none'}`,
  }));
  const message = `${mismatched.length} routers do not have the wanted configuration and settings`;
  return new CliError(EXIT_CODES.notInForce, message, undefined, problems);
}

/** `boragectl versions`. @internal */
export const versionsCommand: LocalCommand = {
  usage: 'versions',
  description: 'Show the configuration and settings that each router has in force, and since when',
  options: [
    ['--metrics <url>', 'URL of the metrics of a router; may be given more than once'],
    [
      '--configuration <version>',
      'Version that all routers should have (default: that of most routers)',
    ],
    ['--settings <digest>', 'Digest that all routers should have (default: that of most routers)'],
    ['--wait <seconds>', 'Maximum wait until all routers have these versions (default: 0)'],
  ],
  examples: ['versions --metrics http://10.1.0.34:9464/metrics --configuration 12 --wait 10'],
  needsRouter: false,
  async run({ output }, _args, options) {
    const urls = textOptions(options, 'metrics');
    if (urls.length === 0) return err(usageError('--metrics URL is missing'));
    const waitMs = Number(textOption(options, 'wait') ?? 0) * MS_PER_S;
    if (!(waitMs >= 0)) return err(usageError('--wait must be a number of seconds'));
    const wanted = {
      configuration: textOption(options, 'configuration'),
      settings: textOption(options, 'settings'),
    };
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      const fleet = await Promise.all(urls.map(fetchVersions));
      const mismatched = mismatchedRouters(fleet, wanted);
      const isFinal = mismatched.length === 0 || performance.now() >= deadlineMs;
      if (!isFinal) {
        output.info(
          `${fleet.length - mismatched.length} of ${fleet.length} routers have the wanted versions`,
        );
        await delay(POLL_INTERVAL_MS);
        continue;
      }
      output.result(fleet, () => format(fleet, mismatched));
      return mismatched.length === 0 ? ok(undefined) : err(mismatchError(mismatched));
    }
  },
};
