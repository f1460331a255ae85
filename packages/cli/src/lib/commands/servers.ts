import { err } from 'neverthrow';

import { usageError } from '../cli-error.js';
import type { RouterCommand } from '../command.js';

/** `boragectl drain SERVICE SERVER`. @internal */
export const drainCommand: RouterCommand = {
  usage: 'drain <service> <server>',
  description: 'Stop giving a backend server new work and move its shards to others',
  options: [['--end', 'End the drain and use the backend server again']],
  examples: ['drain caja caja-3', 'drain caja caja-3 --end'],
  needsRouter: true,
  async run({ client, output }, [service = '', server = ''], options) {
    const draining = options.end !== true;
    const written = await client.drain({ service, server, draining });
    return written.map((it) => {
      const state = draining ? 'drains' : 'is used again';
      output.result(it, () => `${server} ${state} from version ${it.version} of ${service}`);
    });
  },
};

/** `boragectl depose SERVER`. @internal */
export const deposeCommand: RouterCommand = {
  usage: 'depose <server>',
  description: "Replace a backend server's lost keepers without waiting for their tenure to end",
  options: [['--verified-lost', 'Confirm that you have verified that both keepers are lost']],
  examples: ['depose caja-3 --verified-lost'],
  needsRouter: true,
  async run({ client, output }, [server = ''], options) {
    if (options.verifiedLost !== true) {
      const message =
        'a keeper that still runs could renew the lease of the old owner; ' +
        'verify that both keepers are lost, then add --verified-lost';
      return err(usageError(message));
    }
    const answer = await client.depose({ server });
    return answer.map((it) => {
      output.result(it, () => `${server} is kept by ${it.keeper}, keeper epoch ${it.keeperEpoch}`);
    });
  },
};
