import { userInfo } from 'node:os';

import type {
  Configuration,
  PutService,
  ServiceConfig,
  ServiceDocument,
} from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { CliError } from '../cli-error.js';
import { type Options, type RouterCommand, textOption } from '../command.js';
import { readConfiguration } from '../configuration-input.js';
import { waitUntilInForce } from '../in-force.js';
import type { OperatorClient } from '../operator-client.js';
import {
  type WrittenService,
  alreadyWritten,
  readDocument,
  reversalWarnings,
  writeService,
} from '../service-writer.js';
import { formatTable } from '../table.js';
import { parseDuration } from '../time-argument.js';

const DEFAULT_TIMEOUT = '10s';

/** What `apply` does for one service: write it, or leave it because it is unchanged. */
type WritePlan =
  | { readonly put: PutService; readonly warnings: readonly string[] }
  | { readonly written: WrittenService };

function writerName(options: Options): string {
  const given = textOption(options, 'as');
  if (given !== undefined) return given;
  try {
    return userInfo().username;
  } catch {
    return 'unknown operator';
  }
}

function planWrite(
  config: ServiceConfig,
  document: ServiceDocument | undefined,
  expected: number | undefined,
  writer: string,
): WritePlan {
  const written = alreadyWritten(document, config);
  if (written !== undefined) return { written };
  const expectedVersion = expected ?? document?.version ?? 0;
  const warnings = document === undefined ? [] : reversalWarnings(document.config, config);
  return { put: { expectedVersion, writer, config }, warnings };
}

async function planWrites(
  client: OperatorClient,
  { services, expectedVersions }: Configuration,
  writer: string,
): Promise<Result<WritePlan[], CliError>> {
  const plans: WritePlan[] = [];
  for (const config of services) {
    const document = await readDocument(client, config.name);
    if (document.isErr()) return err(document.error);
    plans.push(planWrite(config, document.value, expectedVersions?.[config.name], writer));
  }
  return ok(plans);
}

function withEarlierWrites(error: CliError, done: readonly WrittenService[]): CliError {
  const changed = done.filter((it) => it.changed).map((it) => `${it.name} version ${it.version}`);
  if (changed.length === 0) return error;
  const message = `${error.message}. Written before this: ${changed.join(', ')}`;
  return new CliError(error.exitCode, message, error.body, error.problems);
}

async function writeAll(
  client: OperatorClient,
  plans: readonly WritePlan[],
): Promise<Result<WrittenService[], CliError>> {
  const done: WrittenService[] = [];
  for (const plan of plans) {
    const written = 'put' in plan ? await writeService(client, plan.put) : ok(plan.written);
    if (written.isErr()) return err(withEarlierWrites(written.error, done));
    done.push(written.value);
  }
  return ok(done);
}

function formatWritten(written: readonly WrittenService[]): string {
  const rows = written.map((it) => [it.name, it.version, it.changed ? 'written' : 'unchanged']);
  return formatTable(['SERVICE', 'VERSION', 'OUTCOME'], rows);
}

/** `boragectl apply FILE`. @internal */
export const applyCommand: RouterCommand = {
  usage: 'apply <file>',
  description: 'Submit a configuration and wait until every live router has it in force',
  options: [
    ['--timeout <time>', `Maximum wait, such as 30s (default: ${DEFAULT_TIMEOUT})`],
    ['--as <name>', 'Name of the writer, shown to others in a conflict (default: your user name)'],
  ],
  examples: ['apply services.json', 'apply - --timeout 30s < services.json'],
  needsRouter: true,
  async run({ client, environment, output }, [file = ''], options) {
    const timeoutMs = parseDuration('--timeout', textOption(options, 'timeout') ?? DEFAULT_TIMEOUT);
    if (timeoutMs.isErr()) return err(timeoutMs.error);
    const configuration = await readConfiguration(environment, file);
    if (configuration.isErr()) return err(configuration.error);
    const plans = await planWrites(client, configuration.value, writerName(options));
    if (plans.isErr()) return err(plans.error);
    const warnings = plans.value.flatMap((it) => ('put' in it ? it.warnings : []));
    for (const warning of warnings) output.warn(warning);
    const written = await writeAll(client, plans.value);
    if (written.isErr()) return err(written.error);
    const inForce = await waitUntilInForce(client, written.value, timeoutMs.value);
    return inForce.map((it) => {
      output.result({ services: written.value, ...it }, () => formatWritten(written.value));
      output.info(`in force on all ${it.routers} live routers after ${it.elapsedMs} ms`);
    });
  },
};
