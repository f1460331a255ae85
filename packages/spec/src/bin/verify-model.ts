import { cac } from 'cac';

import { MODEL_CONFIGURATIONS, type ModelConfiguration } from '../lib/model-configurations.js';
import type { Counterexample, Exploration } from '../lib/model/explore.js';
import { MUTATIONS, MUTATION_NAMES, type Mutation } from '../lib/model/mutations.js';

const MS_PER_SECOND = 1_000;
const EXIT_VIOLATED = 1;
const EXIT_USAGE = 2;

interface Options {
  readonly mutate?: string;
  readonly listMutations?: boolean;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printCounterexample({ message, trace }: Counterexample): void {
  print(`  violated: ${message}`);
  print(`  shortest trace, ${trace.length} steps:`);
  for (const [index, step] of trace.entries()) print(`  ${index + 1}. ${step}`);
}

function unreachedGoals(result: Exploration): string[] {
  return Object.entries(result.goals)
    .filter(([, count]) => count === 0)
    .map(([name]) => name);
}

/**
 * Explores a configuration and prints the result. Returns whether no invariant is violated and
 * every goal is reached.
 */
function verify(configuration: ModelConfiguration, mutation: Mutation | undefined): boolean {
  const startedAt = performance.now();
  const result = configuration.run(mutation);
  const seconds = ((performance.now() - startedAt) / MS_PER_SECOND).toFixed(1);
  const violations = result.counterexample === undefined ? 0 : 1;
  print(configuration.name);
  print(`  states ${result.states}, depth ${result.depth}, violations ${violations}, ${seconds} s`);
  for (const [name, count] of Object.entries(result.goals)) print(`  ${name}: ${count} states`);
  if (result.counterexample !== undefined) {
    printCounterexample(result.counterexample);
    return false;
  }
  const unreached = unreachedGoals(result);
  for (const name of unreached) print(`  never reached: ${name}`);
  return unreached.length === 0;
}

function verifyMutation(mutation: Mutation): boolean {
  print(`removed rule ${mutation}: ${MUTATIONS[mutation]}`);
  const configurations = MODEL_CONFIGURATIONS.filter((it) => it.mutations.includes(mutation));
  return configurations.map((it) => verify(it, mutation)).every(Boolean);
}

function isMutation(name: string): name is Mutation {
  return name in MUTATIONS;
}

function main(options: Options): number {
  if (options.listMutations === true) {
    print(MUTATION_NAMES.join('\n'));
    return 0;
  }
  if (options.mutate === undefined) {
    const results = MODEL_CONFIGURATIONS.map((it) => verify(it, undefined));
    return results.every(Boolean) ? 0 : EXIT_VIOLATED;
  }
  if (!isMutation(options.mutate)) {
    process.stderr.write(`unknown mutation ${options.mutate}; --list-mutations prints all names\n`);
    return EXIT_USAGE;
  }
  return verifyMutation(options.mutate) ? 0 : EXIT_VIOLATED;
}

const cli = cac('verify-model');
cli
  .command('', 'Explores every configuration of the specification')
  .option(
    '--mutate <name>',
    'Remove one rule and print a shortest trace to a violation; exits with 1 if there is one',
  )
  .option('--list-mutations', 'Print the names of all mutations')
  .action((options: Options) => {
    process.exitCode = main(options);
  });
cli.help();
cli.parse();
