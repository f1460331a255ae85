import type { BurnReport, BurnShare, RuleBurn } from '@boragepoint/config';

import { formatTable } from './table.js';
import { formatDuration } from './time-argument.js';

const MAX_SHARES = 5;
const BURN_RATE_DECIMALS = 2;
const PERCENT = 100;

/** Renders an objective, such as `99.9% within 200 ms`. @internal */
export function formatObjective({ objective }: RuleBurn): string {
  const percent = Number((objective.target * PERCENT).toFixed(3));
  return `${percent}% within ${objective.withinMs} ms`;
}

/** Renders a burn rate with two decimals. @internal */
export function formatBurnRate(burnRate: number): string {
  return burnRate.toFixed(BURN_RATE_DECIMALS);
}

function formatShares(title: string, shares: readonly BurnShare[]): string[] {
  if (shares.length === 0) return [];
  const parts = shares.slice(0, MAX_SHARES).map((it) => `${it.name} (${it.bad})`);
  return [`  ${title}: ${parts.join(', ')}`];
}

function formatBreakdown(rule: RuleBurn): string[] {
  const lines = [
    ...formatShares('causes', rule.causes),
    ...formatShares('backend servers', rule.servers),
    ...formatShares('keys', rule.keys),
  ];
  return lines.length === 0 ? [] : [`${rule.service}/${rule.rule} bad requests by`, ...lines];
}

/** Renders the burn report as tables for a terminal. @internal */
export function formatBurnReport(report: BurnReport): string {
  const rows = report.rules.flatMap((rule) =>
    rule.windows.map((window) => [
      rule.service,
      rule.rule,
      formatObjective(rule),
      formatDuration(window.windowMs),
      window.good,
      window.bad,
      formatBurnRate(window.burnRate),
    ]),
  );
  const header = ['SERVICE', 'RULE', 'OBJECTIVE', 'WINDOW', 'GOOD', 'BAD', 'BURN RATE'];
  const missing = report.missing.map((it) => `missing: ${it}`);
  return [formatTable(header, rows), ...report.rules.flatMap(formatBreakdown), ...missing].join(
    '\n',
  );
}
