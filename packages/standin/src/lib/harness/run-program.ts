import { execFile } from 'node:child_process';

const TIMEOUT_MS = 30_000;

/** Exit code and output of a program that has ended. */
export interface ProgramResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Runs a compiled program and waits for its exit; it is killed after 30 s. */
export async function runProgram(script: string, args: readonly string[]): Promise<ProgramResult> {
  const options = { timeout: TIMEOUT_MS, killSignal: 'SIGKILL' } as const;
  return await new Promise((resolve) => {
    const child = execFile(process.execPath, [script, ...args], options, (_, stdout, stderr) => {
      resolve({ code: child.exitCode ?? -1, stdout, stderr });
    });
  });
}
