import { existsSync } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';

import { formatConfiguration, parseConfiguration } from '@boragepoint/config';

import type { Fleet } from './fleet.js';
import { PROGRAMS } from './programs.js';
import { runProgram, type ProgramResult } from './run-program.js';
import { replaceRow } from './table-view.js';

const WRITER = 'stand-in operator';

/** Runs `boragectl` against the first live router of a fleet. */
export async function runOperatorTool(
  fleet: Fleet,
  command: readonly string[],
): Promise<ProgramResult> {
  const router = fleet.routers.find((it) => it.program.exit === undefined);
  if (router === undefined) throw new Error('no router is live');
  const target = ['--router', router.operators, '--token-file', fleet.tokenFile];
  return await runProgram(PROGRAMS.operator, [...command, ...target]);
}

async function runToSuccess(fleet: Fleet, command: readonly string[]): Promise<void> {
  const { code, stdout, stderr } = await runOperatorTool(fleet, command);
  if (code === 0) return;
  throw new Error(`boragectl ${command.join(' ')}: code ${code}\n${stdout}${stderr}`);
}

/** Writes configurations into the table, for as long as there is no `boragectl`. */
async function writeRows(fleet: Fleet, text: string): Promise<void> {
  const configuration = parseConfiguration(text);
  if (configuration.isErr()) throw configuration.error;
  for (const config of configuration.value.services) {
    const row = { writer: WRITER, config };
    await replaceRow(fleet.platform.address, `config/${config.name}`, row);
  }
}

/** Prints the fleet's configuration by the library and submits it. */
export async function submitConfiguration(
  fleet: Fleet,
  draining: ReadonlySet<string> = new Set(),
): Promise<void> {
  const services = fleet.services().map((service) => ({
    ...service,
    backendServers: service.backendServers.map((it) => ({
      ...it,
      draining: draining.has(it.id),
    })),
  }));
  const text = formatConfiguration(services);
  if (text.isErr()) throw text.error;
  if (!existsSync(PROGRAMS.operator)) {
    await writeRows(fleet, text.value);
    return;
  }
  const file = path.join(fleet.folder, 'configuration.json');
  await writeFile(file, text.value);
  await runToSuccess(fleet, ['apply', file]);
}

/** Drains a backend server. */
export async function drainServer(fleet: Fleet, service: string, server: string): Promise<void> {
  if (existsSync(PROGRAMS.operator)) await runToSuccess(fleet, ['drain', service, server]);
  else await submitConfiguration(fleet, new Set([server]));
}
