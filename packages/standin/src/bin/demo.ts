#!/usr/bin/env node
/** Demonstrates a fleet: requests, a killed backend server, a drain and a clean shutdown. */
import { cac } from 'cac';

import { runDemo } from '../lib/demo/run-demo.js';

interface Options {
  readonly seed: number;
}

const RUN_TIMEOUT_MS = 60_000;

/** Exits when the demo takes too long; its child processes are killed on exit. */
function exitOnTimeout(): void {
  const fail = () => {
    console.log(`demo: failed, not over within ${RUN_TIMEOUT_MS} ms`);
    process.exit(1);
  };
  setTimeout(fail, RUN_TIMEOUT_MS).unref();
}

async function demo({ seed }: Options): Promise<void> {
  const result = await runDemo(seed, (line) => {
    console.log(line);
  });
  for (const violation of result.violations) console.log(`violation: ${violation}`);
  for (const id of result.badExits) console.log(`${id} did not stop cleanly`);
  const failures = result.lost + result.violations.length + result.badExits.length;
  const figures = [
    `${result.requests} requests`,
    `${result.ok} answered`,
    `${result.unknown} with unknown outcome`,
    `${result.lost} lost`,
    `${result.violations.length} rules broken`,
    `served again in ${Math.round(result.servedAgainMs)} ms`,
    `drained in ${Math.round(result.drainedMs)} ms`,
  ];
  console.log(`demo: ${failures === 0 ? 'ok' : 'failed'}, ${figures.join(', ')}`);
  if (failures > 0) process.exitCode = 1;
}

async function main(options: Options): Promise<void> {
  exitOnTimeout();
  try {
    await demo(options);
  } catch (cause) {
    console.error(cause);
    console.log(`demo: failed, ${String(cause)}`);
    process.exitCode = 1;
  }
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}

const cli = cac('demo');
cli
  .command('', 'Run the demo')
  .option('--seed <number>', 'Seed of the load', { default: 1 })
  .action(main);
cli.help();
cli.parse();
