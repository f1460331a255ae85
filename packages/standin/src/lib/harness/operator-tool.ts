import { writeFile } from 'node:fs/promises';
import path from 'node:path';

import { formatConfiguration } from '@boragepoint/config';

import type { Fleet } from './fleet.js';
import { PROGRAMS } from './programs.js';
import { runProgram, type ProgramResult } from './run-program.js';

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

async function runOrThrow(fleet: Fleet, command: readonly string[]): Promise<void> {
  const { code, stdout, stderr } = await runOperatorTool(fleet, command);
  if (code === 0) return;
  throw new Error(`boragectl ${command.join(' ')}: code ${code}\n${stdout}${stderr}`);
}

/** Prints the fleet's configuration by the library and submits it. */
export async function submitConfiguration(fleet: Fleet): Promise<void> {
  const text = formatConfiguration(fleet.services());
  if (text.isErr()) throw text.error;
  const file = path.join(fleet.folder, 'configuration.json');
  await writeFile(file, text.value);
  await runOrThrow(fleet, ['apply', file]);
}

/** Drains a backend server. */
export async function drainServer(fleet: Fleet, service: string, server: string): Promise<void> {
  await runOrThrow(fleet, ['drain', service, server]);
}
