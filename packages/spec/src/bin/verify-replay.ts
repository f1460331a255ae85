import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { cac } from 'cac';

import { checkTrace } from '../lib/trace/check-trace.js';
import { parseTrace } from '../lib/trace/parse-trace.js';

const TRACE_SUFFIX = '.jsonl';
const EXIT_REJECTED = 1;
const DEFAULT_FOLDER = fileURLToPath(new URL('../../traces', import.meta.url));

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function traceFiles(target: string): string[] {
  if (!existsSync(target)) return [];
  if (!statSync(target).isDirectory()) return [target];
  const names = readdirSync(target).filter((it) => it.endsWith(TRACE_SUFFIX));
  return names.sort().map((it) => path.join(target, it));
}

/** Checks a trace file, prints its violations and returns whether it is accepted. */
function checkFile(file: string): boolean {
  const events = parseTrace(readFileSync(file, 'utf8'));
  if (events.isErr()) {
    print(`${path.basename(file)}: unreadable, ${events.error.message}`);
    return false;
  }
  const violations = checkTrace(events.value);
  const hasOutcome = events.value.some((it) => it.kind === 'outcome');
  const isCorrect = violations.length === 0 && hasOutcome;
  const summary = `${events.value.length} events, ${violations.length} violations`;
  print(`${path.basename(file)}: ${summary}, ${isCorrect ? 'accepted' : 'rejected'}`);
  if (!hasOutcome) print('  the outcome event is missing');
  for (const { at, rule, message } of violations) print(`  at ${at} ms, ${rule}: ${message}`);
  return isCorrect;
}

function main(targets: readonly string[]): number {
  const files = targets.flatMap(traceFiles);
  if (files.length === 0) {
    print('no trace files found');
    return EXIT_REJECTED;
  }
  return files.map(checkFile).every(Boolean) ? 0 : EXIT_REJECTED;
}

const cli = cac('verify-replay');
cli
  .command(
    '[...targets]',
    'Checks trace files, or folders of them, against the rules of the protocol',
  )
  .action((targets: string[]) => {
    process.exitCode = main(targets.length > 0 ? targets : [DEFAULT_FOLDER]);
  });
cli.help();
cli.parse();
