import type { BurnReport, BurnShare, RuleBurn } from '@boragepoint/config';

import { plotBurn } from './burn-plot.js';
import { formatBurnRate, formatObjective } from './burn-text.js';
import { formatDuration, formatTime } from './time-argument.js';

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; color: #1c2733; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
section { border-top: 1px solid #d5dce3; margin-top: 2rem; }
table { border-collapse: collapse; margin: 0.5rem 0 1rem; }
th, td { text-align: left; padding: 0.2rem 1rem 0.2rem 0; }
td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.over td { color: #b3261e; font-weight: 600; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: #5b6b7b; }
svg line.axis { stroke: #9aa8b5; }
svg line.budget { stroke: #b3261e; stroke-dasharray: 4 4; }
svg circle.burn { fill: #1f6feb; }
svg polyline.burn { fill: none; stroke: #1f6feb; stroke-width: 2; }
`;
/** Burn rate that spends the error budget exactly; higher rates are highlighted. */
const BUDGET_RATE = 1;

const HTML_ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

function escapeHtml(text: string): string {
  return text.replace(/[&<>"']/g, (character) => HTML_ENTITIES[character] ?? character);
}

function windowTable({ windows }: RuleBurn): string {
  const rows = windows.map((it) => {
    const cells = [formatDuration(it.windowMs), it.good, it.bad, formatBurnRate(it.burnRate)];
    const classAttribute = it.burnRate > BUDGET_RATE ? ' class="over"' : '';
    return `<tr${classAttribute}>${cells.map((cell) => `<td class="number">${cell}</td>`).join('')}</tr>`;
  });
  const header = ['Window', 'Good', 'Bad', 'Burn rate'].map(
    (it) => `<th class="number">${it}</th>`,
  );
  return `<table><tr>${header.join('')}</tr>${rows.join('')}</table>`;
}

function shareTable(title: string, shares: readonly BurnShare[]): string {
  if (shares.length === 0) return '';
  const rows = shares.map(
    (it) => `<tr><td>${escapeHtml(it.name)}</td><td class="number">${it.bad}</td></tr>`,
  );
  const header = `<tr><th>${title}</th><th class="number">Bad requests</th></tr>`;
  return `<table>${header}${rows.join('')}</table>`;
}

function ruleSection(rule: RuleBurn): string {
  return [
    `<section><h2>${escapeHtml(`${rule.service} / ${rule.rule}`)}</h2>`,
    `<p>Objective: ${formatObjective(rule)}. The dashed line marks the rate that spends the error budget exactly.</p>`,
    plotBurn(rule.points),
    windowTable(rule),
    shareTable('Cause', rule.causes),
    shareTable('Backend server', rule.servers),
    shareTable('Key', rule.keys),
    '</section>',
  ].join('\n');
}

/** Renders the burn report as a self-contained HTML page without external resources. @internal */
export function renderBurnPage(report: BurnReport): string {
  const missing = report.missing.map((it) => `<p>Missing: ${escapeHtml(it)}</p>`);
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>',
    `<style>${STYLE}</style></head><body>`,
    '<h1>Service-level burn</h1>',
    `<p>As of ${formatTime(report.atMs)}.</p>`,
    ...missing,
    ...report.rules.map(ruleSection),
    '</body></html>\n',
  ].join('\n');
}
