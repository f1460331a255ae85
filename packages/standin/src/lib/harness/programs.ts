import { fileURLToPath } from 'node:url';

import * as v from 'valibot';

import type { Program } from './child-program.js';

function packagePath(path: string): string {
  return fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
}

/** Paths of compiled programs, resolved from this package's location in the workspace. */
export const PROGRAMS = {
  router: packagePath('daemon/dist/bin/boragepointd.js'),
  operator: packagePath('cli/dist/bin/boragectl.js'),
  platform: packagePath('standin/dist/bin/standin-platform.js'),
  backendServer: packagePath('standin/dist/bin/standin-backend.js'),
} as const;

const listeningSchema = v.object({ listening: v.string(), control: v.optional(v.string(), '') });

function readListening(line: string): v.InferOutput<typeof listeningSchema> | undefined {
  if (!line.startsWith('{"listening"')) return undefined;
  return v.parse(listeningSchema, JSON.parse(line));
}

/** Waits until a stand-in prints the addresses on which it listens. */
export async function waitForListening(program: Program) {
  return await program.waitForLine('listening', readListening);
}
