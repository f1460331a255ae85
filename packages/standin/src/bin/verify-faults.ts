#!/usr/bin/env node
/** Injects faults into fleets of real processes and checks what each fault case guarantees. */
import { cac } from 'cac';

import { FAULT_CASES } from '../lib/faults/cases.js';
import type { CaseReport, Figure } from '../lib/faults/fault-case.js';
import { runCase } from '../lib/faults/run-case.js';

interface Options {
  readonly seed: number;
  readonly case?: string;
  readonly list: boolean;
  readonly unchecked: boolean;
  readonly keep?: string;
  readonly requests?: number;
  readonly probeEvery?: number;
}

const USAGE_EXIT_CODE = 2;

function formatFigure({ name, value, atMost, atLeast }: Figure): string {
  const bounds = [
    ...(atMost === undefined ? [] : [`at most ${atMost}`]),
    ...(atLeast === undefined ? [] : [`at least ${atLeast}`]),
  ];
  const bound = bounds.length === 0 ? '' : ` (${bounds.join(', ')})`;
  return `  ${name}: ${value}${bound}`;
}

function print(report: CaseReport): void {
  console.log(`${report.case} seed ${report.seed}: ${report.ok ? 'ok' : 'FAILED'}`);
  for (const figure of report.figures) console.log(formatFigure(figure));
  for (const problem of report.problems) console.log(`  problem: ${problem}`);
}

async function verify(options: Options): Promise<void> {
  const cases = FAULT_CASES.filter((it) => it.name === (options.case ?? it.name));
  if (cases.length === 0) {
    console.error(`unknown fault case ${options.case ?? ''}; --list prints all names`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const { seed, unchecked, keep, requests, probeEvery: probeIntervalMs } = options;
  let failed = 0;
  for (const it of cases) {
    if (options.list) {
      console.log(it.name);
      continue;
    }
    console.log(`${it.name}: ${it.guarantee}`);
    const report = await runCase(it, {
      seed,
      unchecked,
      keep,
      requests,
      probeIntervalMs,
    });
    print(report);
    if (!report.ok) failed += 1;
  }
  if (!options.list) console.log(`verify:faults: ${cases.length - failed} ok, ${failed} failed`);
  if (failed > 0) process.exitCode = 1;
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = cac('verify-faults');
cli
  .command('', 'Run the fault cases')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--case <name>', 'Run this case only')
  .option('--list', 'Print the names of all cases', { default: false })
  .option('--unchecked', 'Turn off the ownership checks of backend servers', { default: false })
  .option('--keep <folder>', 'Keep settings, logs and output in this folder')
  .option('--requests <number>', 'Number of requests of the load (default: 240)')
  .option('--probe-every <ms>', 'Interval between two probe requests for one key (default: 100)')
  .action(verify);
cli.help();
cli.parse();
