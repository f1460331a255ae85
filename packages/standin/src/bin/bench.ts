#!/usr/bin/env node
/** Runs a benchmark scenario against real processes and compares its figures with targets. */
import { availableParallelism, loadavg, totalmem } from 'node:os';

import { cac } from 'cac';

import { formatTable } from '../lib/bench/format-table.js';
import { round, type Emit, type Row, type Scenario } from '../lib/bench/scenario.js';
import { SCENARIOS } from '../lib/bench/scenarios.js';
import type { Figure } from '../lib/faults/fault-case.js';

interface Options {
  readonly scenario?: string;
  readonly seed: number;
  readonly seconds?: number;
  readonly check: boolean;
}

const USAGE_EXIT_CODE = 2;
const BYTES_PER_GIB = 2 ** 30;

function machine(): Row {
  const [load = 0] = loadavg();
  return {
    processors: availableParallelism(),
    'memory GiB': Math.round(totalmem() / BYTES_PER_GIB),
    'load average': round(load),
    node: process.version,
  };
}

function missesTarget({ value, atMost, atLeast }: Figure): boolean {
  return !(value <= (atMost ?? Infinity) && value >= (atLeast ?? -Infinity));
}

function figureRow(figure: Figure): Row {
  const hasTarget = figure.atMost !== undefined || figure.atLeast !== undefined;
  const verdict = missesTarget(figure) ? 'falls short' : 'met';
  return {
    figure: figure.name,
    value: round(figure.value),
    'at least': figure.atLeast ?? '',
    'at most': figure.atMost ?? '',
    target: hasTarget ? verdict : '',
  };
}

async function measure(scenario: Scenario, options: Options): Promise<Figure[]> {
  const tables = new Map<string, Row[]>();
  const emit: Emit = (table, row) => {
    console.log(JSON.stringify({ scenario: scenario.name, table, ...row }));
    tables.set(table, [...(tables.get(table) ?? []), row]);
  };
  emit('machine before', machine());
  const { seed, seconds } = options;
  const figures = await scenario.run({ seed, seconds }, emit);
  for (const figure of figures) emit('figures', figureRow(figure));
  emit('machine after', machine());
  for (const [title, rows] of tables) console.log(`\n${formatTable(title, rows)}`);
  return figures;
}

async function bench(options: Options): Promise<void> {
  const scenario = SCENARIOS.find((it) => it.name === options.scenario);
  if (scenario === undefined) {
    for (const it of SCENARIOS) console.error(`--scenario ${it.name}: ${it.about}`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const missed = (await measure(scenario, options)).filter(missesTarget);
  for (const it of missed) console.log(`falls short: ${it.name} is ${round(it.value)}`);
  if (options.check && missed.length > 0) process.exitCode = 1;
}

async function main(options: Options): Promise<void> {
  try {
    await bench(options);
  } catch (cause) {
    console.error(cause);
    process.exit(1);
  }
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = cac('bench');
cli
  .command('', 'Run a benchmark scenario')
  .option('--scenario <name>', 'Scenario to run; without it, all are listed')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--seconds <number>', 'Length of the measured span in seconds')
  .option('--check', 'Exit with code 1 when a target is missed', { default: false })
  .action(main);
cli.help();
cli.parse();
