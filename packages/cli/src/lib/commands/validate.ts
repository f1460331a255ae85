import { ok } from 'neverthrow';

import type { LocalCommand } from '../command.js';
import { readConfiguration } from '../configuration-input.js';
import { formatTable } from '../table.js';

/** `boragectl validate FILE`. @internal */
export const validateCommand: LocalCommand = {
  usage: 'validate <file>',
  description: 'Check a configuration without submitting it; - reads standard input',
  examples: ['validate services.json', 'validate - < services.json'],
  needsRouter: false,
  async run({ environment, output }, [file = '']) {
    const configuration = await readConfiguration(environment, file);
    return configuration.andThen(({ services }) => {
      const rows = services.map((it) => [
        it.name,
        it.shards,
        it.rules.length,
        it.backendServers.length,
      ]);
      const header = ['SERVICE', 'SHARDS', 'RULES', 'BACKEND SERVERS'];
      const summary = { valid: true, services: services.map((it) => it.name) };
      output.result(summary, () => formatTable(header, rows));
      output.info('the configuration is valid');
      return ok(undefined);
    });
  },
};
