import type { ServiceConfig } from '@boragepoint/config';
import { type ConfigRow, type VersionedRow, configKey } from '@boragepoint/ownership';
import { type Result, err, ok } from 'neverthrow';

import { OperatorError, type OperatorOperations } from '../operators/index.js';
import type { RouterNode } from '../router-node.js';

/** Time limit of an operator's write, including its retries. */
const WRITE_TIMEOUT_MS = 5_000;

type ConfigOperations = Pick<
  OperatorOperations,
  'listServices' | 'getService' | 'putService' | 'drain' | 'pin'
>;

/** Creates the error for an unreachable table. */
export function storeUnavailable(): OperatorError {
  return new OperatorError('storeUnavailable', "the platform's table can't be reached");
}

/** Creates the error for a service that this router does not know. */
export function unknownService(name: string): OperatorError {
  return new OperatorError('unknownService', `there is no service ${name}`);
}

/** Creates the operations that read and change configurations. */
export function createConfigOperations(node: RouterNode): ConfigOperations {
  const { rows, map, writer } = node;

  async function readRow(name: string): Promise<Result<VersionedRow<ConfigRow>, OperatorError>> {
    if (!(await writer.refresh([configKey(name)]))) return err(storeUnavailable());
    const row = rows.config(configKey(name));
    return row === undefined ? err(unknownService(name)) : ok(row);
  }

  /** Returns the servers that own shards but are missing from the new configuration. */
  function removedOwners(config: ServiceConfig): string[] {
    const kept = new Set(config.backendServers.map((it) => it.id));
    const owners = new Set(map.assignments(config.name).map((it) => it.owner));
    return [...owners].filter((it) => !kept.has(it));
  }

  function findProblems(config: ServiceConfig): string[] {
    const before = map.service(config.name);
    const problems = removedOwners(config).map((it) => `${it} still owns shards: drain it first`);
    if (before !== undefined && before.shards !== config.shards) {
      problems.push(`the number of shards can't change from ${before.shards}`);
    }
    if (config.pins.length > 0) problems.push('pins are not supported yet');
    if (!config.checksOrders) {
      problems.push('backend servers that do not check their orders are not supported yet');
    }
    for (const { id } of config.backendServers) {
      const other = map.server(id)?.service.name;
      if (other !== undefined && other !== config.name) {
        problems.push(`the backend server ${id} belongs to the service ${other}`);
      }
    }
    return problems;
  }

  async function write(
    config: ServiceConfig,
    expectedVersion: number,
    operator: string,
  ): Promise<Result<{ version: number }, OperatorError>> {
    const problems = findProblems(config);
    if (problems.length > 0) {
      return err(new OperatorError('invalidConfiguration', problems.join('; ')));
    }
    const change = { key: configKey(config.name), expectedVersion, value: { config, operator } };
    const written = await writer.write([change], AbortSignal.timeout(WRITE_TIMEOUT_MS));
    node.links.announce();
    if (written.isOk()) return ok({ version: expectedVersion + 1 });
    if (written.error.reason === 'given-up') return err(storeUnavailable());
    const current = rows.config(change.key);
    const version = current?.version ?? 0;
    const by = current?.value.operator ?? 'nobody';
    const message = `the configuration has version ${version}, written by ${by}, not ${expectedVersion}`;
    return err(
      new OperatorError('versionConflict', message, { currentVersion: version, writer: by }),
    );
  }

  async function editConfig(
    name: string,
    edit: (config: ServiceConfig) => Result<ServiceConfig, OperatorError>,
  ): Promise<Result<{ version: number }, OperatorError>> {
    const row = await readRow(name);
    if (row.isErr()) return err(row.error);
    const edited = edit(row.value.value.config);
    if (edited.isErr()) return err(edited.error);
    return write(edited.value, row.value.version, 'boragectl');
  }

  return {
    listServices() {
      const services = map
        .services()
        .map(({ name }) => ({ name, version: map.configVersion(name) }));
      return Promise.resolve(ok({ services }));
    },
    async getService(name) {
      const row = await readRow(name);
      return row.map(({ version, value }) => {
        return { version, writer: value.operator ?? 'unknown', config: value.config };
      });
    },
    putService: (put) => write(put.config, put.expectedVersion, put.writer),
    drain({ service, server, draining }) {
      const message = draining ? 'an operator drains it' : 'an operator ends its drain';
      node.journal.add('drain', { service, server }, message);
      return editConfig(service, (config) => {
        const known = config.backendServers.some((it) => it.id === server);
        if (!known) return err(new OperatorError('notFound', `${service} has no server ${server}`));
        const backendServers = config.backendServers.map((it) =>
          it.id === server ? { ...it, draining } : it,
        );
        return ok({ ...config, backendServers });
      });
    },
    pin({ service, key, pinned }) {
      return editConfig(service, (config) => {
        const others = config.pins.filter((it) => it.key !== key);
        return ok({ ...config, pins: pinned ? [...others, { key }] : others });
      });
    },
  };
}
