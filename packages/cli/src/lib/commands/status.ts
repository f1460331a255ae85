import type { ServiceVersion, StatusAnswer } from '@boragepoint/config';

import type { RouterCommand } from '../command.js';
import { formatTable } from '../table.js';

function formatVersions(services: readonly ServiceVersion[]): string {
  return services.map((it) => `${it.name}=${it.version}`).join(' ');
}

function formatRouters(status: StatusAnswer): string {
  const rows = status.routers.map((it) => [
    it.id,
    it.availabilityZone,
    it.region,
    it.state,
    formatVersions(it.services),
    it.reportAgeMs,
  ]);
  const header = ['ROUTER', 'AVAILABILITY ZONE', 'REGION', 'STATE', 'VERSIONS', 'REPORT AGE MS'];
  return formatTable(header, rows);
}

function formatServers(status: StatusAnswer): string {
  const keepers = new Map(status.keepers.map((it) => [it.server, it]));
  const rows = status.servers.map((it) => {
    const keeper = keepers.get(it.id);
    return [
      it.id,
      it.service,
      it.availabilityZone,
      it.state,
      it.shards,
      keeper?.keeper ?? null,
      keeper?.standby ?? null,
      keeper?.keeperEpoch ?? null,
    ];
  });
  const header = [
    'BACKEND SERVER',
    'SERVICE',
    'AVAILABILITY ZONE',
    'STATE',
    'SHARDS',
    'KEEPER',
    'STANDBY',
    'KEEPER EPOCH',
  ];
  return formatTable(header, rows);
}

function formatStatus(status: StatusAnswer): string {
  const { id, availabilityZone, ready, reasons } = status.router;
  const state = ready ? 'ready' : `not ready: ${reasons.join('; ')}`;
  const head = `${id} in ${availabilityZone} is ${state}`;
  return [head, formatRouters(status), formatServers(status)].join('\n\n');
}

/** `boragectl status`. @internal */
export const statusCommand: RouterCommand = {
  usage: 'status',
  description: 'Show routers with their configuration versions, keepers and backend servers',
  examples: ['status', 'status --json'],
  needsRouter: true,
  async run({ client, output }) {
    const status = await client.status();
    return status.map((it) => {
      output.result(it, () => formatStatus(it));
    });
  },
};
