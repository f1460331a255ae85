import { type Result, err, ok } from 'neverthrow';

import type { CliError } from '../cli-error.js';
import type { RouterCommand } from '../command.js';
import { type Change, diffConfig } from '../config-diff.js';
import { readConfiguration } from '../configuration-input.js';
import type { OperatorClient } from '../operator-client.js';
import { readDocument } from '../service-writer.js';
import type { ServiceConfig } from '@boragepoint/config';

interface ServiceDiff {
  readonly service: string;
  /** Version that the file is compared with; 0 if the service does not exist yet. */
  readonly version: number;
  readonly changes: readonly Change[];
}

async function diffService(
  client: OperatorClient,
  config: ServiceConfig,
): Promise<Result<ServiceDiff, CliError>> {
  const document = await readDocument(client, config.name);
  return document.map((current) => ({
    service: config.name,
    version: current?.version ?? 0,
    changes: diffConfig(current?.config, config),
  }));
}

function formatChange({ path, before, after }: Change): string[] {
  const lines: string[] = [];
  if (before !== undefined) lines.push(`- ${path}: ${JSON.stringify(before)}`);
  if (after !== undefined) lines.push(`+ ${path}: ${JSON.stringify(after)}`);
  return lines;
}

function formatDiff({ service, version, changes }: ServiceDiff): string {
  if (version === 0) return `${service}: new`;
  const head = `${service} (version ${version})`;
  if (changes.length === 0) return `${head}: no difference`;
  return [`${head}:`, ...changes.flatMap(formatChange).map((line) => `  ${line}`)].join('\n');
}

/** `boragectl diff FILE`. @internal */
export const diffCommand: RouterCommand = {
  usage: 'diff <file>',
  description: 'Show what apply would change; - reads standard input',
  examples: ['diff services.json', 'diff - < services.json'],
  needsRouter: true,
  async run({ client, environment, output }, [file = '']) {
    const configuration = await readConfiguration(environment, file);
    if (configuration.isErr()) return err(configuration.error);
    const diffs: ServiceDiff[] = [];
    for (const config of configuration.value.services) {
      const diff = await diffService(client, config);
      if (diff.isErr()) return err(diff.error);
      diffs.push(diff.value);
    }
    output.result({ services: diffs }, () => diffs.map(formatDiff).join('\n'));
    return ok(undefined);
  },
};
