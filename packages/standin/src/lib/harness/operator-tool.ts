import { writeFile } from 'node:fs/promises';
import path from 'node:path';

import { formatConfiguration } from '@boragepoint/config';

import type { Fleet } from './fleet.js';
import { PROGRAMS } from './programs.js';
import { runProgram, type ProgramResult } from './run-program.js';

/** Runs `boragectl` against the first router of a fleet that is running. */
export async function runOperatorTool(
  fleet: Fleet,
  command: readonly string[],
): Promise<ProgramResult> {
  const router = fleet.routers.find((it) => it.program.exit === undefined);
  if (router === undefined) throw new Error('no router of the fleet is running');
  const target = ['--router', router.operators, '--token-file', fleet.tokenFile];
  return await runProgram(PROGRAMS.operator, [...command, ...target]);
}

async function runOrThrow(fleet: Fleet, command: readonly string[]): Promise<void> {
  const { code, stdout, stderr } = await runOperatorTool(fleet, command);
  if (code === 0) return;
  throw new Error(`boragectl ${command.join(' ')}: exit code ${code}\n${stdout}${stderr}`);
}

/** Writes the fleet's configuration to a file and submits it with `boragectl apply`. */
export async function submitConfiguration(fleet: Fleet): Promise<void> {
  const text = formatConfiguration(fleet.services());
  if (text.isErr()) throw text.error;
  const file = path.join(fleet.folder, 'configuration.json');
  await writeFile(file, text.value);
  await runOrThrow(fleet, ['apply', file]);
}

/** Drains a backend server with `boragectl drain`. */
export async function drainServer(fleet: Fleet, service: string, server: string): Promise<void> {
  await runOrThrow(fleet, ['drain', service, server]);
}
