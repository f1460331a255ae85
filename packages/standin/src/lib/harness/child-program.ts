import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { createInterface } from 'node:readline';

import { monotonicMs } from '../clock.js';
import { waitUntil } from './wait-until.js';

const STOP_TIMEOUT_MS = 15_000;
const MAX_KEPT_LINES = 20;

const runningChildren = new Set<ChildProcess>();

/** Kills child processes that still run when this process exits. */
function killRunningChildren(): void {
  for (const child of runningChildren) child.kill('SIGKILL');
}

process.once('exit', killRunningChildren);

/** Start parameters of a program. */
export interface ProgramPlan {
  readonly name: string;
  /** Path of the compiled script. */
  readonly script: string;
  readonly args: readonly string[];
  /** File to which the program's standard output and error are appended. */
  readonly outputFile: string;
}

/** How a program ended. */
export interface ProgramExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A program that runs as a child process; disposal kills it. */
export interface Program extends AsyncDisposable {
  readonly name: string;
  readonly pid: number;
  /** Set once the program has ended. */
  readonly exit: ProgramExit | undefined;
  /** Waits for an output line for which `parse` returns a value, and returns that value. */
  waitForLine<T>(description: string, parse: (line: string) => T | undefined): Promise<T>;
  /** Kills the program; returns the monotonic time in milliseconds after its exit was seen. */
  kill(): Promise<number>;
  /** Suspends the program with SIGSTOP; returns the monotonic time in ms just after the signal. */
  freeze(): number;
  /** Resumes a frozen program with SIGCONT. */
  thaw(): void;
  /** Sends SIGTERM and waits until the program has exited. */
  stop(): Promise<ProgramExit>;
}

/** Starts a compiled program with the running Node.js executable. */
export function startProgram(plan: ProgramPlan): Program {
  const child = spawn(process.execPath, [plan.script, ...plan.args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const output = createWriteStream(plan.outputFile, { flags: 'a' });
  const lines: string[] = [];
  let exit: ProgramExit | undefined;

  runningChildren.add(child);
  child.once('exit', (code, signal) => {
    runningChildren.delete(child);
    exit = { code, signal };
  });
  child.once('error', () => (exit ??= { code: null, signal: null }));
  for (const stream of [child.stdout, child.stderr]) {
    stream.pipe(output, { end: false });
    createInterface({ input: stream }).on('line', (line) => {
      lines.push(line);
      if (lines.length > MAX_KEPT_LINES) lines.shift();
    });
  }

  function throwIfEnded(): void {
    if (exit === undefined) return;
    const how = exit.signal ?? `code ${exit.code}`;
    throw new Error(`${plan.name} ended with ${how}:\n${lines.join('\n')}`);
  }

  async function waitForExit(): Promise<ProgramExit> {
    return await waitUntil(`end of ${plan.name}`, () => exit, STOP_TIMEOUT_MS);
  }

  async function kill(): Promise<number> {
    if (exit === undefined) child.kill('SIGKILL');
    await waitForExit();
    output.end();
    return monotonicMs();
  }

  return {
    name: plan.name,
    pid: child.pid ?? 0,
    get exit() {
      return exit;
    },
    waitForLine: (description, parse) =>
      waitUntil(`${plan.name}: ${description}`, () => {
        const parsed = lines.map(parse).find((it) => it !== undefined);
        if (parsed === undefined) throwIfEnded();
        return parsed;
      }),
    kill,
    freeze() {
      child.kill('SIGSTOP');
      return monotonicMs();
    },
    thaw() {
      child.kill('SIGCONT');
    },
    async stop() {
      child.kill('SIGTERM');
      return await waitForExit();
    },
    async [Symbol.asyncDispose]() {
      await kill();
    },
  };
}
