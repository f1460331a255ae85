import { CONFIGURATION_FORMAT, type ServiceDocument } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import type { CliError } from '../cli-error.js';
import type { RouterCommand } from '../command.js';
import type { OperatorClient } from '../operator-client.js';

const INDENT = 2;

async function listNames(client: OperatorClient): Promise<Result<string[], CliError>> {
  const list = await client.listServices();
  return list.map(({ services }) => services.map((it) => it.name));
}

async function readDocuments(
  client: OperatorClient,
  names: readonly string[],
): Promise<Result<ServiceDocument[], CliError>> {
  const documents: ServiceDocument[] = [];
  for (const name of names) {
    const document = await client.getService(name);
    if (document.isErr()) return err(document.error);
    documents.push(document.value);
  }
  return ok(documents);
}

/** `boragectl get [SERVICE]`. @internal */
export const getCommand: RouterCommand = {
  usage: 'get [service]',
  description: 'Print the configuration of one or all services, ready to edit and apply',
  examples: ['get caja > caja.json', 'get'],
  needsRouter: true,
  async run({ client, output }, [name]) {
    const names = name === undefined ? await listNames(client) : ok([name]);
    if (names.isErr()) return err(names.error);
    const documents = await readDocuments(client, names.value);
    return documents.map((all) => {
      const configuration = {
        format: CONFIGURATION_FORMAT,
        services: all.map((it) => it.config),
        expectedVersions: Object.fromEntries(all.map((it) => [it.config.name, it.version])),
      };
      output.result(configuration, () => JSON.stringify(configuration, null, INDENT));
    });
  },
};
